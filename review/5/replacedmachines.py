"""Checks that a fleet whose machines were replaced before serves again after it lost power (rule RECOVER).

Six hosts, three model workers, one tenant that uses about half of its quota. With the disruption, there were earlier
machines: ten generations of six, each at addresses and with names of its own, started and removed for good before the
present six. Then all machines lose power and start again, with and without the disruption. The script compares how
many requests are served before that with how many are served of those that were sent later than recoveryS after the
machines were back.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from platformstandin import *

HOSTS = 6
GENERATIONS = 10  # of machines that were replaced before the present ones
GENERATION_TIMEOUT_S = 5.0  # for all hosts of a generation to be ready
SETTLE_S = 40.0  # from the start of the present machines to the count before the fault
BEFORE_S = 6.0  # of traffic that is counted before the fault
DOWN_S = 1.0
AFTER_S = 14.0  # of traffic that is counted after recoveryS
SERVED_SHARE = 0.25  # "less than a quarter is served, though a quarter or more was before"
PER_S = 10.0  # requests
TOKENS = "1900,100"  # of one request: 20,000 tokens a second in all
QUOTA = {"costUnit": "tokens", "plainTokens": 200, "ratePerS": 36000, "burst": 36000}


def address_of(generation, number):
    return f"127.0.{generation + 1}.{number + 1}"


async def start_generation(folder, store, generation, first_start):
    hosts = []
    for number in range(HOSTS):
        address = address_of(generation, number)
        hosts.append(Host(folder, store, f"front-{generation}-{number}", address, free_ports(address), first_start))
    for host in hosts:
        await host.start()
    return hosts


async def case():
    record = Record()
    store = Store()
    await store.start()
    workers = [Engine(store, record, "layout-llm", f"k-{number}", 12) for number in range(3)]
    for worker in workers:
        worker.events = 5
        await worker.start()
    await store.put("keyed.op", "config", configuration(
        [stream_route("organiser-query", "/query/", "layout-llm")], [engine_service("layout-llm")],
        [dict(TENANT, **QUOTA)]))
    with temporary_folder() as folder:
        hosts = []
        answers = []  # time of sending and status

        async def send(number):
            sent = record.now()
            client = Client(hosts[number % HOSTS], record)
            status = await client.call("POST", "/query/order", f"query-{number}", b"question", 15000,
                                       f"X-Model: m\r\nX-Token-Count: {TOKENS}\r\n", 3.2)
            client.close()
            answers.append((sent, status))

        async def traffic(seconds):
            end, tasks = record.now() + seconds, []
            while record.now() < end:
                tasks.append(asyncio.create_task(send(len(answers) + len(tasks))))
                await asyncio.sleep(1 / PER_S)
            await asyncio.gather(*tasks)

        def served_between(begin, end):
            statuses = [status for sent, status in answers if begin <= sent < end]
            record.write(f"from {begin:.1f} to {end:.1f} s: "
                         f"{ {status: statuses.count(status) for status in sorted(set(statuses))} }")
            return statuses.count(200) / len(statuses)

        try:
            generations = GENERATIONS if trouble() else 0
            for generation in range(generations):
                hosts = await start_generation(folder, store, generation, first_start=generation == 0)
                end = record.now() + GENERATION_TIMEOUT_S
                while not all([await host.is_ready() for host in hosts]):
                    if record.now() > end:
                        break
                    await asyncio.sleep(0.1)
                for host in hosts:
                    await host.stop()
                record.write(f"generation {generation} of the machines is removed")
            hosts = await start_generation(folder, store, generations, first_start=generations == 0)
            await asyncio.sleep(SETTLE_S - 10)
            await traffic(10)
            begin = record.now()
            await traffic(BEFORE_S)
            before = served_between(begin, record.now())
            for host in hosts:
                host.process.send_signal(signal.SIGKILL)
            record.write("all machines lose power")
            for host in hosts:
                await host.process.wait()
            await asyncio.sleep(DOWN_S)
            for host in hosts:
                text = (host.folder / "node.json").read_text()
                (host.folder / "node.json").write_text(text.replace('"bootstrap": true', '"bootstrap": false'))
                await host.start()
            back = record.now()
            record.write("all machines are back")
            await traffic(RECOVERY_S + AFTER_S)
            served_between(back, back + RECOVERY_S)
            after = served_between(back + RECOVERY_S, record.now())
        finally:
            for host in hosts:
                await host.stop()
    record.say(f"RECOVER: {before:.3f} served before all machines lost power, {after:.3f} of those sent later than "
               f"{RECOVERY_S:.0f} s after they were back, with {generations * HOSTS} machines replaced before")
    if before < SERVED_SHARE:
        return NOT_RUN
    return BROKEN if after < SERVED_SHARE else HELD


exit_with(case)
