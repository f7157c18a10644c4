"""A request crashes each runner that begins to run it, before the runner has answered anything. It comes again and again
and is handed to further runners each time."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import harness

CONTACT_S = 3.0
AGAIN_S = 3.0
TIMES = 8
SOUND_PER_S = 4


async def body(deployment, disturbed):
    record = deployment.record
    arrivals = []   # times at which a runner began to run the deadly request

    def crash(request):
        if request.body == b"deadly" * 50:
            arrivals.append(harness.now())
            return True
        return False

    for number in range(1, 6):
        runner = deployment.engine(number, events=60, gap_s=0.05)
        runner.before_run = crash
    await deployment.start(relays=3)
    await asyncio.sleep(CONTACT_S + 0.5)
    entries = [relay.address("front") for relay in deployment.relays]
    tasks, sound = [], []

    async def send_sound(number):
        ident = harness.new_id("sound")
        caller = harness.Caller(entries[number % 3])
        answer = await caller.send("POST", "/draft/2f", harness.stream_fields(ident, [f"a{number}:200", f"{ident}:300"]),
                                   ident.encode().ljust(500, b"."), patience_s=25, gap_s=18)
        caller.close()
        sound.append(answer)

    async def traffic():
        number = 0
        while True:
            number += 1
            tasks.append(asyncio.create_task(send_sound(number)))
            await asyncio.sleep(1 / SOUND_PER_S)

    flow = asyncio.create_task(traffic())
    await asyncio.sleep(3)
    for number in range(TIMES):
        content = b"deadly" * 50 if disturbed else b"simple" * 50
        ident = harness.new_id("deadly")
        caller = harness.Caller(entries[number % 3])
        await caller.send("POST", "/draft/2f", harness.stream_fields(ident, ["a7:200", "own7:300"]), content,
                          patience_s=25, gap_s=18)
        caller.close()
        record.line(f"crashes so far: {len(arrivals)}")
        await asyncio.sleep(AGAIN_S)
    flow.cancel()
    await asyncio.wait(tasks, timeout=10)
    late = [at for at in arrivals if at > arrivals[2] + CONTACT_S] if len(arrivals) > 2 else []
    lost = [a for a in sound if not a.whole or a.status != 200]
    record.line(f"runners crashed by the request: {len(arrivals)}; of these later than contact_ms after the third: "
                f"{len(late)}; sound streams: {len(sound)}, not served: {len(lost)}")
    return f"it reached runners {len(late)} times too late" if len(late) > 3 else ""


harness.run_case(pathlib.Path(__file__).resolve().parent, body)
