import type { Socket } from "node:net";
import { testUnrulyForms } from "./fakes/unrulyCallers";
import type { UnrulyForm } from "./fakes/unrulyForm";
import { UnrulyPort } from "./fakes/unrulyForm";

// Guards against connections to the ports that are not for callers that fill the memory: with heads or bodies that never end, or with requests whose answers are not read.

const headers = 1_000;
const heapMb = 60;

/** A head of about the size, in many small headers, without its end. */
const endlessHead = (path: string, bytes: number): string => {
    const value = "v".repeat(Math.max(1, Math.floor(bytes / headers) - 10));
    return `GET ${path} HTTP/1.1\r\nHost: h\r\n${[...Array(headers).keys()].map(index => `h${index}: ${value}\r\n`).join("")}`;
};

const send = (text: string) => (socket: Socket): void => {
    socket.pause();
    socket.write(text);
};

const forms: readonly UnrulyForm[] = [
    { name: "heads of 60 KB without end, at the port for peers", port: UnrulyPort.Peers, heapMb, callers: 700, begin: send(endlessHead("/", 60_000)) },
    {
        name: "heads of 15 KB without end, at the port for readiness",
        port: UnrulyPort.Readiness,
        heapMb,
        callers: 700,
        begin: send(endlessHead("/readyz", 15_000)),
    },
    {
        name: "heads of 15 KB without end, at the port for metrics",
        port: UnrulyPort.Metrics,
        heapMb,
        callers: 700,
        begin: send(endlessHead("/metrics", 15_000)),
    },
];

const pipelined = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`.repeat(2_000);
const unfinishedBody = `POST /exchange HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: 4000001\r\n\r\n${"z".repeat(4_000_000)}`;

const furtherForms: readonly UnrulyForm[] = [
    { name: "bodies of 4 MB without end, at the port for peers", port: UnrulyPort.Peers, callers: 60, begin: send(unfinishedBody) },
    { name: "pipelined requests, unread, at the port for peers", port: UnrulyPort.Peers, callers: 60, begin: send(pipelined("/")) },
    { name: "pipelined requests, unread, at the port for readiness", port: UnrulyPort.Readiness, callers: 60, begin: send(pipelined("/readyz")) },
    { name: "pipelined requests, unread, at the port for metrics", port: UnrulyPort.Metrics, callers: 60, begin: send(pipelined("/metrics")) },
];

testUnrulyForms(250, [...forms, ...furtherForms]);
