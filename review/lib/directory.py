"""A stand-in for the platform's directory: DNS over UDP, one answer a query, in the order of the queries.

Runs as a process of its own, so that a test can stop and continue it by a signal. Reads lists on standard input, one JSON
object a line ({"serial": N, "servers": [...]}), and prints one JSON line for each list and each answer.
"""
import json
import select
import socket
import struct
import sys
import time


def name(text):
    out = b""
    for label in text.strip(".").split("."):
        raw = label.encode()
        out += bytes([len(raw)]) + raw
    return out + b"\0"


def record(owner, kind, data):
    return name(owner) + struct.pack("!HHIH", kind, 1, 0, len(data)) + data


def answer(query, state):
    identifier = query[:2]
    question = query[12:]
    answers = additional = b""
    for server in state["servers"]:
        host = f"{server['id']}.{server['zone']}.hosts"
        priority = 0 if server["state"] == "ready" else 1
        srv = struct.pack("!HHH", priority, int(server.get("weight", 1) * 10), server["port"]) + name(host)
        answers += record("_work._tcp.fleet.local", 33, srv)
        additional += record(host, 1, socket.inet_aton(server["ip"]))
        fields = [f"kind={server['kind']}", f"cell={server['cell']}", f"started={server.get('started', 0)}"]
        additional += record(host, 16, b"".join(bytes([len(f)]) + f.encode() for f in fields))
    soa = name("ns.fleet.local") + name("ops.fleet.local") + struct.pack("!IIIII", state["serial"], 1, 1, 1, 1)
    authority = record("fleet.local", 6, soa)
    count = len(state["servers"])
    header = identifier + struct.pack("!HHHHH", 0x8400, 1, count, 1, 2 * count)
    return header + question + answers + authority + additional


def say(**fields):
    print(json.dumps({"t": time.time(), **fields}), flush=True)


def main():
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    say(event="listening", port=sock.getsockname()[1])
    state = None
    while True:
        readable, _, _ = select.select([sock, sys.stdin], [], [])
        if sys.stdin in readable:
            line = sys.stdin.readline()
            if not line:
                return
            state = json.loads(line)
            say(event="list", serial=state["serial"])
            continue
        query, peer = sock.recvfrom(2048)
        if state is not None and len(query) >= 12:
            sock.sendto(answer(query, state), peer)
            say(event="answered", serial=state["serial"], id=query[:2].hex())


main()
