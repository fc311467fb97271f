"""Bad clients: each sends requests of a class that does not exist, at full speed, and reads whatever it is sent.

Arguments: host, port, number of clients, seconds. Ends by itself.
"""
import random
import select
import socket
import sys
import time

REQUEST = ('{"verb":"START","tag":"%016x","blob":"offer","opts":{"class":"gold","left":"5000","key":"7f3a9c21e0b4d655",'
           '"extras":"home:0;copies:3;top:4;viewer:00000000b4d65521"}}\n')
CHUNK = 30000


def main():
    host, port, clients, seconds = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
    data = "".join(REQUEST % random.getrandbits(64) for _ in range(2000)).encode()
    position, sent, answers = {}, 0, 0
    for _ in range(clients):
        client = socket.create_connection((host, port), 5)
        client.setblocking(False)
        position[client] = 0
    end = time.time() + seconds
    while position and time.time() < end:
        readable, writable, _ = select.select(list(position), list(position), [], 0.1)
        for client in readable:
            try:
                received = client.recv(65536)
            except OSError:
                received = b""
            answers += received.count(b"\n")
            if not received:
                position.pop(client)
        for client in writable:
            if client in position:
                try:
                    start = position[client]
                    count = client.send(data[start:start + CHUNK])
                    position[client] = (start + count) % len(data)
                    sent += count
                except BlockingIOError:
                    pass
                except OSError:
                    position.pop(client)
    print(f"sent {sent // len(REQUEST % 0)} requests, got {answers} answers, {len(position)} connections open", flush=True)


main()
