"""Faults of a soak run, drawn from a seed."""

import asyncio
import contextlib

from fleet import expected
from harness import now_ms
from network import BACK, BOTH, THERE, LinkFault

STORM_S = (7, 13)
CALM_S = (11, 14)
# At most, so that a run with a hundred agents ends in time.
SERIES_S = 30
FAULTS = (6, 14)
# Longer than an entry without the store grants leases.
SPLIT_S = (8, 12)
SPLIT_START_S = 1.5
SPLIT_SHARE = 0.7
# Of the splits in which the planner has no other fault.
SPARED_SHARE = 0.7
EVACUATED_S = (6, 12)
EVACUATE_ALL_SHARE = 0.2
# Of the restarted workers, and of those that are cut off.
CUT_SHARE = 0.8
KILLED_SHARE = 0.7
MACHINE_CUT_S = (6, 11)
RESTART_BEFORE_S = (1, 4)
# Traffic goes on for this long after the storms.
LAST_RESTART_S = 8


@contextlib.contextmanager
def impaired(fleet, *scopes):
    calm = fleet.history.calm
    for it in scopes:
        calm.begin(it)
    try:
        yield
    finally:
        for it in scopes:
            calm.end(it, now_ms())


async def kill(fleet, rng, program):
    with impaired(fleet, program.name), expected(program):
        program.kill()
        await asyncio.sleep(rng.uniform(0.5, 3))
        program.spawn()


async def term(fleet, rng, program):
    scope = program.name
    if program in fleet.entries:
        scope += ".planned"
    with impaired(fleet, scope), expected(program):
        await program.terminate()
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        program.spawn()


async def freeze(fleet, rng, program):
    with impaired(fleet, program.name):
        program.freeze()
        await asyncio.sleep(rng.uniform(1, 4))
        program.thaw()


async def block_log(fleet, rng, program):
    with impaired(fleet, program.name):
        program.block_log()
        await asyncio.sleep(rng.uniform(1.5, 5))
        program.unblock_log()


PROGRAM_FAULTS = (kill, term, freeze, block_log)


async def on_program(fleet, rng, fault, program):
    """One fault at a time on a program."""
    if getattr(program, "faulty", False) or program.name in fleet.gone:
        return
    program.faulty = True
    fleet.record.add("fault", kind=fault.__name__, on=program.name)
    try:
        await fault(fleet, rng, program)
    finally:
        program.faulty = False
        fleet.record.add("fault.end", kind=fault.__name__, on=program.name)


async def one_program(fleet, rng):
    await on_program(fleet, rng, rng.choice(PROGRAM_FAULTS),
                     rng.choice(fleet.programs()))


async def planner(fleet, rng):
    await on_program(fleet, rng, rng.choice(PROGRAM_FAULTS), fleet.planner())


async def series(fleet, rng):
    """The same fault on many programs, one after the other."""
    group = rng.choice([fleet.entries, list(fleet.agents.values())])
    group = rng.sample(group, rng.randint(len(group) // 2, len(group)))
    if fleet.planner() in group:
        group.sort(key=lambda it: it is not fleet.planner())
    fault = rng.choice(PROGRAM_FAULTS)
    gap_s = min(rng.choice([0, 0.5, 1.3, 2.5]), SERIES_S / len(group))
    running = []
    for it in group:
        running.append(asyncio.ensure_future(
            on_program(fleet, rng, fault, it)))
        await asyncio.sleep(gap_s)
    await asyncio.gather(*running)


async def crash(fleet, rng):
    """Executors crash and come back, under the same id or a new one."""
    count = rng.choice([1, 1, 2, 3])
    await asyncio.gather(*(fleet.crash(it, rng.uniform(2, 4))
                           for it in rng.sample(fleet.executors, count)))


async def crash_later(fleet, rng):
    """An executor crashes, and again soon after its return."""
    executor = rng.choice(fleet.executors)
    await fleet.crash(executor, rng.uniform(0.5, 4))
    await asyncio.sleep(rng.uniform(0.5, 2))
    await fleet.crash(executor, rng.uniform(0.5, 4))


async def replace(fleet, rng):
    """A side machine is gone for good; another comes."""
    executor = rng.choice(fleet.executors)
    program = fleet.agents[executor.name]
    if executor.retired or not executor.up or executor.draining or (
            getattr(program, "faulty", False)):
        return
    executor.retired = True
    fleet.gone.add(program.name)
    fleet.record.add("fault", kind="replace", on=executor.name)
    with impaired(fleet, executor.name):
        program.expected_end = True
        program.kill()
        await executor.crash()
        fleet.vm_count += 1
        spare = await fleet.add_machine(fleet.vm_count)
        # add_machine makes the program known before it runs.
        agent = fleet.agents[spare.name]
        agent.expected_end = True
        await asyncio.sleep(rng.uniform(1, 3))
        agent.spawn()
        agent.expected_end = False
        await spare.start()
    fleet.executors.remove(executor)
    del fleet.agents[program.name]


async def power(fleet, rng):
    """A side machine loses power: agent and executor are gone, then back."""
    executor = rng.choice(fleet.executors)
    program = fleet.agents[executor.name]
    if executor.retired or not executor.up or executor.draining or (
            getattr(program, "faulty", False)):
        return
    await asyncio.gather(on_program(fleet, rng, kill, program),
                         fleet.crash(executor, 3, True))


async def leave(fleet, rng):
    """An executor drains and leaves; an empty one comes later."""
    executor = rng.choice(fleet.executors)
    if executor.retired or not executor.up or executor.draining:
        return
    with impaired(fleet, executor.name):
        await executor.leave()
        executor.id = f"i-{executor.name}-{executor.life}"
        await asyncio.sleep(rng.uniform(0.5, 3))
        if not executor.up and not executor.retired:
            await executor.start()


@contextlib.contextmanager
def slowed(fleet, rng, chosen):
    """Tasks that start on some executors meanwhile take longer."""
    with impaired(fleet, *(it.name for it in chosen)):
        for it in chosen:
            it.slowness = rng.uniform(3, 7)
        try:
            yield
        finally:
            for it in chosen:
                it.slowness = 1


async def slow(fleet, rng):
    with slowed(fleet, rng, rng.sample(fleet.executors, 2)):
        await asyncio.sleep(rng.uniform(3, 6))


async def unanswered(fleet, rng):
    """Start and stop calls get no answer; some are carried out late."""
    chosen = rng.sample(fleet.executors, rng.choice([1, 3, 5, 11]))
    how = rng.choice(["late", "lost", "mixed", "mixed"])
    share = rng.choice([0.05, 0.3, 0.8])
    with impaired(fleet, *(it.name for it in chosen)):
        for it in chosen:
            it.unanswered, it.unanswered_share = how, share
        await asyncio.sleep(rng.uniform(2, 6))
        for it in chosen:
            it.unanswered = None


async def cut(fleet, rng):
    """Executors can't be reached and run on."""
    chosen = rng.sample(fleet.executors, rng.choice([1, 2, 3]))
    with impaired(fleet, *(it.name for it in chosen)):
        for it in chosen:
            it.cut = True
        await asyncio.sleep(rng.uniform(1.5, 11))
        for it in chosen:
            it.cut = False


async def restart_with_held_calls(fleet, executor, away_s):
    """An executor crashes; its next process, under the same id, carries out
    the calls that are on their way."""
    held, executor.held = executor.held or [], None
    await fleet.crash(executor, away_s, False)
    # Together: a renewal waits, and the agent's next one makes calls void.
    await asyncio.gather(*(executor.carry_out(it) for it in held))


async def cut_machines(fleet, executors, seconds, mode):
    """Cuts agents off from the entries and the store, and their executors
    from all. @param mode how the store is away."""
    names = [it.name for it in executors]
    pairs = fleet.network.between(names, [it.name for it in fleet.entries])
    fleet.record.add("machines.cut", on=names, lease_left_ms=[
        it.lease_left_ms() for it in executors])
    with impaired(fleet, *names), fleet.store.away(names, mode), (
            fleet.network.impaired(pairs, LinkFault("cut"))):
        await asyncio.gather(*(it.cut_off(seconds) for it in executors))


def last_lasting_start(executor):
    jobs = executor.cluster.history.jobs
    return max((it.started for it in executor.runs.values()
                if it.task.split(".")[0] in jobs
                and jobs[it.task.split(".")[0]].lasting), default=0)


async def restarted_worker(fleet, rng):
    """Executors that have just started lasting tasks start again under their
    ids, and carry out calls of their former processes. Mostly their machines
    are cut off soon after, while long tasks run, and the planner is killed."""
    able = [it for it in fleet.executors
            if it.up and not it.draining and not it.retired]
    if not able:
        return
    # Its lasting tasks start elsewhere, and are suspects after a crash there.
    await fleet.crash(rng.choice(
        [it for it in able if last_lasting_start(it)] or able),
        rng.uniform(0.3, 0.6))
    await asyncio.sleep(rng.uniform(0.2, 0.8))
    chosen = sorted((it for it in able if it.up), key=last_lasting_start)
    chosen = chosen[-rng.choice([1, 3, 5]):]
    for it in chosen:
        it.held = []
    await asyncio.sleep(rng.uniform(0.1, 0.4))
    with slowed(fleet, rng, chosen):
        await asyncio.gather(*(restart_with_held_calls(
            fleet, it, rng.uniform(0.2, 0.6)) for it in chosen))
        await asyncio.sleep(rng.uniform(0.8, 1.6))
    if rng.random() > CUT_SHARE:
        return
    cut_off = asyncio.ensure_future(machine_cut(fleet, rng, chosen))
    if rng.random() < KILLED_SHARE:
        await asyncio.sleep(rng.uniform(0, 0.7))
        await on_program(fleet, rng, kill, fleet.planner())
    await cut_off


async def machine_cut(fleet, rng, chosen=None):
    """Nothing reaches some machines."""
    if chosen is None:
        chosen = rng.sample(fleet.executors, rng.choice([1, 2, 3]))
    await cut_machines(fleet, chosen, rng.uniform(*MACHINE_CUT_S),
                       rng.choice(["reset", "silent"]))


async def grey(fleet, rng):
    """More tasks fail."""
    with impaired(fleet, "grey"):
        fleet.fail_share = rng.choice([0.1, 0.3])
        await asyncio.sleep(rng.uniform(3, 6))
        fleet.fail_share = 0.05


async def idle_close(fleet, rng):
    """Executors close idle connections from now on."""
    for it in rng.sample(fleet.executors, rng.randint(1, 11)):
        it.server.idle_s = rng.uniform(0.2, 2)


async def store_away(fleet, rng):
    """The store is away for all processes, or for some."""
    names = [it.name for it in fleet.programs()]
    if rng.random() < 0.5:
        names = rng.sample(names, rng.randint(1, len(names) // 2))
    mode = rng.choice(["reset", "silent", "busy"])
    fleet.record.add("store.away", mode=mode, names=len(names))
    with impaired(fleet, "store"), fleet.store.away(names, mode):
        await asyncio.sleep(rng.uniform(2, 6))


async def store_slow(fleet, rng):
    with impaired(fleet, "store"):
        fleet.store.delay_s = rng.choice([0.05, 0.2, 0.6])
        await asyncio.sleep(rng.uniform(3, 6))
        fleet.store.delay_s = 0


async def store_loses(fleet, rng):
    """Answers to transactions are lost; some are applied late."""
    with impaired(fleet, "store"):
        fleet.store.lose = rng.choice(["applied", "late", "mixed"])
        fleet.store.lose_share = rng.choice([0.1, 0.35, 0.7])
        await asyncio.sleep(rng.uniform(2, 5))
        fleet.store.lose = None
        await asyncio.sleep(3)


async def store_forgets(fleet, _):
    fleet.store.forget()
    fleet.history.calm.mark("store", now_ms())


async def configure(fleet, _):
    await fleet.put_config()


async def on_links(fleet, rng, pairs, fault, seconds):
    """A fault on some links."""
    names = sorted({name for pair in pairs for name in pair})
    what = {"kind": fault.kind, "directions": "/".join(fault.directions),
            "delay": f"{fault.delay_s:.2f}", "links": len(pairs)}
    fleet.record.add("links", **what, on=pairs if len(pairs) < 20 else names)
    with impaired(fleet, *names), fleet.network.impaired(
            pairs, fault, reset_after=rng.random() < 0.3):
        await asyncio.sleep(seconds)
    fleet.record.add("links.end", **what)


def some_links(fleet, rng):
    """@return a link by itself, or those of a group."""
    entries = [it.name for it in fleet.entries]
    agents = list(fleet.agents)
    planner = fleet.planner().name
    one = rng.choice([planner, planner, rng.choice(entries)])
    few = rng.sample(agents, rng.randint(1, len(agents) // 2))
    return fleet.network.between(*rng.choice([
        ([one], [rng.choice(agents)]), ([one], few), ([one], agents),
        (entries, few), (entries, few), ([one], entries),
        ([one], entries + agents), (entries, entries)]))


def link_fault(rng):
    kind = rng.choice(["cut", "cut", "one_way", "delay", "reset"])
    if kind == "one_way":
        return LinkFault("cut", (rng.choice([THERE, BACK]),))
    if kind == "delay":
        return LinkFault(kind, rng.choice([BOTH, (THERE,), (BACK,)]),
                         rng.choice([0.05, 0.3, 0.8, 1.5]))
    return LinkFault(kind)


async def links(fleet, rng):
    await on_links(fleet, rng, some_links(fleet, rng), link_fault(rng),
                   rng.choice([0.1, rng.uniform(1, 4), rng.uniform(4, 8)]))


async def links_flap(fleet, rng):
    """The same fault again and again."""
    pairs, fault = some_links(fleet, rng), link_fault(rng)
    for _ in range(rng.randint(3, 7)):
        await on_links(fleet, rng, pairs, fault, rng.uniform(0.1, 1.5))
        await asyncio.sleep(rng.uniform(0.05, 1))


async def divide(fleet, rng, group):
    """Cuts a group of processes off from all others and from the store. The
    two end by themselves."""
    others = [it.name for it in fleet.programs() if it.name not in group]
    mode = rng.choice(["reset", "silent"])
    fleet.record.add("divide", group=group, mode=mode)

    async def no_store():
        await asyncio.sleep(rng.uniform(0, SPLIT_START_S))
        with impaired(fleet, "store"), fleet.store.away(group, mode):
            await asyncio.sleep(rng.uniform(*SPLIT_S))

    async def no_links():
        await asyncio.sleep(rng.uniform(0, SPLIT_START_S))
        await on_links(
            fleet, rng, fleet.network.between(group, others),
            rng.choice([LinkFault("cut"), LinkFault("cut"),
                        LinkFault("reset")]), rng.uniform(*SPLIT_S))

    await asyncio.gather(no_store(), no_links())


async def divided(fleet, rng, entry):
    """An entry keeps one agent or two, and no store."""
    await divide(fleet, rng, [entry.name] + rng.sample(
        list(fleet.agents), rng.choice([1, 1, 2])))


async def split(fleet, rng):
    if rng.random() < SPARED_SHARE:
        await on_program(fleet, rng, divided, fleet.planner())
    else:
        await divided(fleet, rng, fleet.planner())


async def split_any(fleet, rng):
    """Any part of the processes is divided from the others."""
    names = [it.name for it in fleet.programs()]
    await divide(fleet, rng, rng.sample(names, rng.randint(1, len(names) - 1)))


async def evacuations(fleet, rng, seconds):
    """Zones are evacuated and taken back, at times all of them."""
    until = now_ms() + seconds * 1000
    while True:
        await asyncio.sleep(rng.uniform(2, 6))
        zones = list(fleet.site.zones)
        if rng.random() < EVACUATE_ALL_SHARE:
            rng.shuffle(zones)
        else:
            zones = [rng.choice(zones)]
        length_s = rng.uniform(*EVACUATED_S)
        if now_ms() + length_s * 1000 > until:
            return
        for zone in zones:
            # The value says nothing.
            await fleet.store.put("op", f"evacuate/{zone}",
                                  rng.choice([{}, [], "?"]))
            fleet.history.evacuate(zone)
        await asyncio.sleep(length_s)
        for zone in zones:
            fleet.history.take_back(zone)
            await fleet.store.remove("op", f"evacuate/{zone}")


FAULT_WEIGHTS = {
    one_program: 3, planner: 3, series: 3, crash: 3, crash_later: 2,
    replace: 1, power: 2, leave: 2, slow: 1, unanswered: 4, cut: 2, grey: 1,
    idle_close: 1,
    store_away: 3, store_slow: 1, store_loses: 2, store_forgets: 1,
    configure: 1,
    links: 4, links_flap: 2,
}

RESTARTS = ((restarted_worker,), (restarted_worker, machine_cut),
            (restarted_worker, restarted_worker), (machine_cut,))


def plan(rng, seconds, apart):
    """@return the moments and kinds of faults: storms with calm between. The
    first storm begins with a split, and most others do.
    @param apart draws the restarted workers and machine cuts, so that moments
    and kinds of a seed's other faults stay the same. They begin before the
    storms, while planners still place what the workers had run, and after
    them."""
    at = rng.uniform(1, 4)
    out = [(at, split)]
    while at < seconds - 5:
        if out[-1][0] < at and rng.random() < SPLIT_SHARE:
            out.append((at, rng.choice([split, split, split_any])))
        length = min(rng.uniform(*STORM_S), seconds - at)
        for _ in range(rng.randint(*FAULTS)):
            kind = rng.choices(list(FAULT_WEIGHTS),
                               list(FAULT_WEIGHTS.values()))[0]
            out.append((at + rng.uniform(0, length), kind))
        for kind in apart.choice(RESTARTS):
            out.append((max(0.5, at - apart.uniform(*RESTART_BEFORE_S)), kind))
        at += length + rng.uniform(*CALM_S)
    # While no planner is divided from the store, so that the next one hears
    # that a killed one has stopped.
    out.append((seconds + apart.uniform(0, 2), restarted_worker))
    return sorted(out, key=lambda it: it[0])


async def play(fleet, rng, faults):
    """Plays the faults; @return once all of them have ended."""
    started = now_ms()
    running = []
    for at, kind in faults:
        await asyncio.sleep(max(0, at - (now_ms() - started) / 1000))
        fleet.record.add("trouble", kind=kind.__name__)
        running.append(asyncio.ensure_future(kind(fleet, rng)))
    await asyncio.gather(*running)
