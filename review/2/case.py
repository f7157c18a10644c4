"""A prompt part crashes runners; the machines are restarted in turn. Afterwards every sound request with the same first
part is refused."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import harness

CONTACT_S = 3.0
SOUND_PER_S = 20
DEADLY_EVERY_S = 0.7
CALM_S = 6.0
MEASURED_S = 6.0


async def body(deployment, disturbed):
    record = deployment.record

    def is_deadly(request):
        return "bad0bad0:100" in request.fields.get(harness.PARTS, "")

    crashes = []

    def crash(request):
        if is_deadly(request):
            crashes.append(harness.now())
            return True
        return False

    for number in range(1, 7):
        runner = deployment.engine(number, events=40, gap_s=0.05)
        runner.before_answer = crash
    await deployment.start(relays=3)
    await asyncio.sleep(CONTACT_S + 0.5)
    entries = [relay.address("front") for relay in deployment.relays]
    open_entries = set(entries)
    sound = []      # (sent at, began at a runner on this attempt, answer)
    tasks = []
    number = 0

    async def send(ident, parts):
        caller = harness.Caller(sorted(open_entries)[number % len(open_entries)])
        answer = await caller.send("POST", "/draft/2f", harness.stream_fields(ident, parts, tokens_in=500),
                                   ident.encode().ljust(500, b"."), patience_s=25, gap_s=18)
        caller.close()
        return answer

    async def send_sound():
        ident, sent = harness.new_id("sound"), harness.now()
        answer = await send(ident, ["5c1e07a2:200", f"{ident}:300"])
        began = any(each[1] == ident for runner in deployment.runners for each in runner.began)
        sound.append((sent, began, answer))
        if not began:
            record.line(f"sound {ident} did not begin: {answer.body[:80]!r}")

    async def send_deadly():
        ident = harness.new_id("deadly")
        await send(ident, ["5c1e07a2:200", "bad0bad0:100", f"{ident}:200"])

    async def traffic():
        nonlocal number
        while True:
            number += 1
            tasks.append(asyncio.create_task(send_sound()))
            await asyncio.sleep(1 / SOUND_PER_S)

    async def deadly_traffic():
        while True:
            tasks.append(asyncio.create_task(send_deadly()))
            await asyncio.sleep(DEADLY_EVERY_S)

    flows = [asyncio.create_task(traffic())]
    calm_from = harness.now()
    await asyncio.sleep(CALM_S)
    calm_to = harness.now()
    if disturbed:
        record.line("requests with the deadly part begin to come")
        flows.append(asyncio.create_task(deadly_traffic()))
    await asyncio.sleep(8)
    record.line(f"crashes so far: {len(crashes)}; the machines are restarted in turn")
    for relay in deployment.relays:
        open_entries.discard(relay.address("front"))  # its callers learn from the directory that it leaves
        relay.signal(signal.SIGTERM)
        if await relay.wait_end(9) is None:
            raise RuntimeError("a process did not end")
        relay.start(deployment.seeds)
        if not await relay.wait_ready():
            raise RuntimeError("a process isn't ready")
        open_entries.add(relay.address("front"))
        await asyncio.sleep(1)
    await asyncio.sleep(CONTACT_S + 0.5)
    if crashes:
        fifth = crashes[min(len(crashes), 5) - 1]
        await asyncio.sleep(max(0.0, fifth + 2 * CONTACT_S - harness.now()))
    measured_from = harness.now()
    record.line(f"crashes: {len(crashes)}; all machines are in touch again")
    await asyncio.sleep(MEASURED_S)
    measured_to = harness.now()
    await asyncio.sleep(2)
    for flow in flows:
        flow.cancel()
    await asyncio.wait(tasks, timeout=10)

    def share(begin, end):
        chosen = [began for sent, began, _ in sound if begin <= sent < end]
        return len(chosen), sum(chosen) / max(1, len(chosen))

    calm, after = share(calm_from, calm_to), share(measured_from, measured_to)
    record.line(f"sound requests that began at the first attempt: calm {calm[1]:.2f} of {calm[0]}, "
                f"afterwards {after[1]:.2f} of {after[0]}; crashes {len(crashes)}")
    if calm[0] < 20 or after[0] < 20:
        raise RuntimeError("too few requests")
    return "sound requests begin less than half as often" if after[1] < 0.5 * calm[1] else ""


harness.run_case(pathlib.Path(__file__).resolve().parent, body)
