"""A request to the plain service crashes each runner that begins to run it. It comes again at any machine and is passed
on each time; requests that may run once only and run beside it are lost."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import harness

CONTACT_S = 3.0
AGAIN_S = 1.0
TIMES = 20
SOUND_PER_S = 12


async def body(deployment, disturbed):
    record = deployment.record
    arrivals = []

    def crash(request):
        if request.body == b"deadly" * 50:
            arrivals.append(harness.now())
            return True
        return False

    deployment.engine(1)
    for number in range(1, 4):
        runner = deployment.desk(number, work_s=0.06)
        runner.before_run = crash
    await deployment.start(relays=3)
    await asyncio.sleep(CONTACT_S + 0.5)
    entries = [relay.address("front") for relay in deployment.relays]
    tasks, sound = [], []

    async def send(ident, number, content):
        caller = harness.Caller(entries[number % 3])
        answer = await caller.send("POST", "/file/2f", harness.plain_fields(ident), content, patience_s=1.6)
        caller.close()
        return answer

    async def send_sound(number):
        ident = harness.new_id("file")
        answer = await send(ident, number, f"notice {ident}".encode())
        sound.append(answer)
        answer.ran = any(each[1] == ident for runner in deployment.runners for each in runner.began)
        if answer.status != 200:
            record.line(f"sound {ident} was not served; it had begun to run: {answer.ran}")

    async def traffic():
        number = 0
        while True:
            number += 1
            tasks.append(asyncio.create_task(send_sound(number)))
            await asyncio.sleep(1 / SOUND_PER_S)

    flow = asyncio.create_task(traffic())
    await asyncio.sleep(3)
    for number in range(TIMES):
        ident = harness.new_id("deadly")
        await send(ident, number, b"deadly" * 50 if disturbed else b"simple" * 50)
        record.line(f"crashes so far: {len(arrivals)}")
        await asyncio.sleep(AGAIN_S)
    flow.cancel()
    await asyncio.wait(tasks, timeout=10)
    late = [at for at in arrivals if at > arrivals[2] + CONTACT_S] if len(arrivals) > 2 else []
    failed = [a for a in sound if a.status != 200]
    record.line(f"runners crashed by the request: {len(arrivals)}; of these later than contact_ms after the third: "
                f"{len(late)}; sound requests: {len(sound)}, not served: {len(failed)}, "
                f"of these had begun to run: {sum(a.ran for a in failed)}")
    return f"it reached runners {len(late)} times too late" if len(late) > 3 else ""


harness.run_case(pathlib.Path(__file__).resolve().parent, body)
