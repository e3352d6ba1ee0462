"""Demonstrates a fleet of 6 hosts of one user in which hosts fail; started by scripts/demo.sh."""

import argparse
import http.client
import json
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

OPERATORS_KEY = "key-of-the-operators"
FLEET_KEY = "key-of-the-fleet"
HOSTS = 6
FIRST_HOST_PORT = 24000  # port for callers; operators and peers use the next two ports
START_DEADLINE_S = 30
USERS = {
    "adinkra": {
        "domains": ["accra-osu", "accra-tema", "kumasi-adum"],
        "model": "layout-llm",
        "action": "/services/orders-app/print/badges",
    },
    "daegu": {
        "domains": ["suseong", "dalseo", "pangyo"],
        "model": "index-llm",
        "action": "/services/catalogue-app/commit/volume-3",
    },
}


def merge(base, overlay):
    """Merges objects by key; later scalars and arrays replace earlier ones."""
    for key, value in overlay.items():
        if isinstance(value, dict) and isinstance(base.get(key), dict):
            merge(base[key], value)
        else:
            base[key] = value
    return base


class Demo:
    def __init__(self, user, binaries, source, folder):
        self.user = USERS[user]
        self.examples = source / "examples"
        self.texts = self.examples / user / "texts"
        lines = (self.examples / user / "keys.txt").read_text().splitlines()
        self.key = next(line.split()[1] for line in lines if line and not line.startswith("#"))
        self.binaries = binaries
        self.folder = folder
        self.config_folder = self.examples / user / "config"
        self.processes = {}
        self.config = {}
        for file in sorted(self.config_folder.glob("*.json")):
            merge(self.config, json.loads(file.read_text()))

    def start_process(self, name, program, *arguments):
        output = open(self.folder / f"{name}.out", "w")
        errors = open(self.folder / f"{name}.err", "w")
        command = [str(self.binaries / program), *map(str, arguments)]
        self.processes[name] = subprocess.Popen(command, stdout=output, stderr=errors)

    def wait_for(self, description, condition):
        deadline = time.monotonic() + START_DEADLINE_S
        while not condition():
            if time.monotonic() > deadline:
                raise RuntimeError(f"timed out: {description}; see {self.folder}")
            time.sleep(0.05)

    def ports_of(self, name, count):
        def ports():
            text = (self.folder / f"{name}.out").read_text()
            return [int(line[5:]) for line in text.splitlines() if line.startswith("port=")]

        self.wait_for(f"start of {name}", lambda: len(ports()) >= count)
        return ports()

    def start_standins(self):
        pools = self.config["pools"]
        targets = {"model": [], "service": []}
        for target in self.config["targets"].values():
            targets[pools[target["pool"]]["kind"]].append(target)
        ports = {kind: [target["port"] for target in members] for kind, members in targets.items()}
        # The engines get the speeds that the configuration declares.
        capacity = pools[targets["model"][0]["pool"]]["capacity"]
        names = ("streams", "prefill_tokens_per_second", "decode_tokens_per_second")
        options = json.dumps({name: capacity[name] for name in names})
        base = capacity["decode_tokens_per_second"]
        speeds = [
            str(target.get("capacity", capacity).get("decode_tokens_per_second", base) / base)
            for target in targets["model"]
        ]
        engine_ports = ",".join(map(str, ports["model"]))
        self.start_process("engines", "sapphirecove-standins", "engine", "--ports", engine_ports, "--count",
                           len(ports["model"]), "--speeds", ",".join(speeds), "--options", options)
        for port in ports["service"]:
            self.start_process(f"service-{port}", "sapphirecove-standins", "service", "--port", port)
            self.ports_of(f"service-{port}", 1)
        self.ports_of("engines", len(ports["model"]))
        self.start_process("log", "sapphirecove-standins", "log", "--port", 0)
        hosts = [
            {
                "id": self.host_id(index),
                "address": "127.0.0.1",
                "peer_port": self.port(index) + 2,
                "region": self.region(index),
                "failure_domain": self.domain(index),
                "state": "live",
            }
            for index in range(HOSTS)
        ]
        targets = [{"id": name, "state": "live"} for name in self.config["targets"]]
        (self.folder / "hosts.json").write_text(json.dumps({"hosts": hosts, "targets": targets}))
        self.start_process("list", "sapphirecove-standins", "hosts", "--port", 0, "--file", self.folder / "hosts.json")
        print(f"started {len(ports['model'])} engines, {len(ports['service'])} plain services, log and host list")

    def host_id(self, index):
        return f"{self.domain(index)}-{index + 1}"

    def domain(self, index):
        return self.user["domains"][index % len(self.user["domains"])]

    def region(self, index):
        return self.config["failure_domains"][self.domain(index)]["region"]

    @staticmethod
    def port(index):
        return FIRST_HOST_PORT + 3 * index

    def settings(self, index):
        return self.folder / f"{self.host_id(index)}.json"

    def start_hosts(self):
        (self.folder / "operators.key").write_text(OPERATORS_KEY)
        (self.folder / "fleet.key").write_text(FLEET_KEY)
        log = self.ports_of("log", 1)[0]
        host_list = self.ports_of("list", 1)[0]
        for index in range(HOSTS):
            port = self.port(index)
            listen = {"callers": port, "operators": port + 1, "peers": port + 2}
            settings = {
                "host": {
                    "id": self.host_id(index),
                    "region": self.region(index),
                    "failure_domain": self.domain(index),
                },
                "listen": {name: f"127.0.0.1:{value}" for name, value in listen.items()},
                "keys": {"operators_file": "operators.key", "fleet_file": "fleet.key"},
                "platform": {"log": f"127.0.0.1:{log}", "host_list": f"127.0.0.1:{host_list}"},
                "seed": index + 1,
            }
            self.settings(index).write_text(json.dumps(settings, indent=2))
            self.start_process(self.host_id(index), "sapphirecove", "serve", "--settings", self.settings(index))

    def is_ready(self, index):
        connection = http.client.HTTPConnection("127.0.0.1", self.port(index) + 1, timeout=2)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def run_command(self, *arguments, index=0):
        command = [str(self.binaries / "sapphirecove"), *map(str, arguments), "--settings", str(self.settings(index))]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60)
        shown = " ".join(["sapphirecove", *map(str, arguments)]).replace(str(self.examples), "examples")
        print(f"$ {shown}   (exit code {result.returncode})")
        print((result.stdout + result.stderr).rstrip())
        return result.returncode

    def send_streaming_request(self, index, name, prompt, results):
        """Sends one streaming request; records the received text and whether the end marker arrived."""
        body = {
            "model": self.user["model"],
            "stream": True,
            "max_tokens": 240,
            "messages": [{"role": "user", "content": prompt}],
        }
        result = {"host": self.host_id(index), "status": 0, "content": "", "complete": False, "other": ""}
        results[name] = result
        connection = http.client.HTTPConnection("127.0.0.1", self.port(index), timeout=60)
        try:
            headers = {"Authorization": f"Bearer {self.key}", "Content-Type": "application/json"}
            connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
            response = connection.getresponse()
            result["status"] = response.status
            for line in response:
                self.parse_stream_line(result, line.decode().strip())
        except (OSError, http.client.HTTPException) as error:
            result["other"] = f"connection lost: {error}"
        finally:
            connection.close()

    @staticmethod
    def parse_stream_line(result, line):
        if line == "data: [DONE]":
            result["complete"] = True
        elif line.startswith("data: "):
            chunk = json.loads(line[6:])
            for choice in chunk.get("choices", []):
                result["content"] += choice.get("delta", {}).get("content", "")
            if "reason" in chunk:
                result["other"] = f"{chunk['reason']}, executed: {chunk['executed']}"
        elif line and not line.startswith("id:"):
            result["other"] += line

    def call_service(self, index, key):
        connection = http.client.HTTPConnection("127.0.0.1", self.port(index), timeout=30)
        try:
            headers = {"Authorization": f"Bearer {self.key}", "Idempotency-Key": key}
            connection.request("POST", self.user["action"], "{}", headers)
            response = connection.getresponse()
            print(f"{self.host_id(index)}: status {response.status} {response.read().decode().strip()}")
        finally:
            connection.close()

    def print_results(self, results):
        all_complete = True
        for name, result in results.items():
            state = "complete" if result["complete"] else "NOT COMPLETE"
            print(f"{name} at {result['host']}: status {result['status']}, {len(result['content']) // 4} tokens, {state}"
                  f" {result['other']}")
            print(f"    {result['content'][:100]}...")
            all_complete = all_complete and result["complete"]
        return all_complete

    def print_fleet(self):
        """Prints the state of the other hosts as host 0 reports it, and the groups that each live host arbitrates."""
        status = self.status(0)
        print(f"the fleet as reported by {status['host']}:")
        for peer in status["peers"]:
            state = "alive" if peer["alive"] else "silent"
            print(f"    {peer['id']}: {state}, generation {peer['generation']}")
        for index in range(HOSTS):
            if self.processes[self.host_id(index)].poll() is None:
                groups = [group["group"] for group in self.status(index)["groups"]]
                print(f"    {self.host_id(index)} arbitrates {', '.join(groups) or 'no group'}")
        print()

    def status(self, index):
        connection = http.client.HTTPConnection("127.0.0.1", self.port(index) + 1, timeout=5)
        try:
            connection.request("GET", "/operators/v1/status", headers={"Authorization": f"Bearer {OPERATORS_KEY}"})
            return json.loads(connection.getresponse().read())
        finally:
            connection.close()

    def run(self):
        self.start_standins()
        self.start_hosts()
        if self.run_command("config", "publish", self.config_folder, "--operator", "demonstration") != 0:
            raise RuntimeError("the configuration was not accepted")
        for index in range(HOSTS):
            self.wait_for(f"readiness of {self.host_id(index)}", lambda host=index: self.is_ready(host))
        print(f"{HOSTS} hosts are ready\n")

        prompts = {file.stem: file.read_text() for file in sorted(self.examples.glob("*/texts/*-short.txt"))}
        prompts.update({file.stem: file.read_text() for file in sorted(self.texts.glob("*-long.txt"))})
        results = {}
        threads = []
        for index in (1, 2, 3):
            for name, prompt in prompts.items():
                arguments = (index, f"{name} {index}", f"{prompt}\nDraft {index}.", results)
                threads.append(threading.Thread(target=self.send_streaming_request, args=arguments))
        for thread in threads:
            thread.start()
        self.wait_for("first tokens", lambda: len(results) == len(threads) and all(r["content"] for r in results.values()))
        killed, stopped = self.host_id(5), self.host_id(1)
        print(f"all streams have started; {killed} is killed and {stopped} is stopped gracefully")
        self.processes[killed].kill()
        self.processes[stopped].send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        all_complete = self.print_results(results)
        print(f"{stopped} ended with exit code {self.processes[stopped].wait(timeout=30)}\n")

        print("one request that must not run twice, sent to two hosts with the same idempotency key:")
        key = f"demonstration-{time.time_ns()}"
        self.call_service(0, key)
        self.call_service(2, key)
        print()
        self.print_fleet()
        for arguments in (("config", "status"), ("versions", "status"), ("audit",)):
            self.run_command(*arguments)
            print()
        return all_complete

    def stop(self):
        """Kills the processes that this script started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--user", choices=sorted(USERS), default="adinkra")
    parser.add_argument("--bin", type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    source = pathlib.Path(__file__).resolve().parents[2]
    folder = pathlib.Path(tempfile.mkdtemp(prefix="sapphirecove-demo-"))
    demo = Demo(arguments.user, arguments.bin.resolve(), source, folder)
    try:
        all_complete = demo.run()
    finally:
        demo.stop()
    shutil.rmtree(folder)
    print("all responses are complete" if all_complete else "a response is incomplete")
    return 0 if all_complete else 1


if __name__ == "__main__":
    sys.exit(main())
