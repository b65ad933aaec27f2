import type { Socket } from "node:net";
import { createServer } from "node:net";
import { sleep } from "../../src/utils/time";
import { portOf } from "../fakes/jsonServer";
import type { LoadRecord } from "./loadRecord";
import { UpstreamEnd } from "./loadRecord";
import { AnswerFault, answerPartsOf, Framing } from "./requestPlan";

const headEnd = "\r\n\r\n";
const lengthPattern = /^content-length: (\d+)$/im;
const idPattern = /^attempt-id: (.*)$/im;

const headOf = ({ plan: { id, framing: planned, route } }: LoadRecord, length: number, framing = planned): string => {
    const type = route.isStream ? "Content-Type: text/event-stream\r\n" : "";
    const framings: Readonly<Record<Framing, string>> = {
        [Framing.Chunks]: "Transfer-Encoding: chunked\r\n",
        [Framing.Length]: `Content-Length: ${length}\r\n`,
        [Framing.Connection]: "Connection: close\r\n",
    };
    return `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: seal-${id}\r\n${type}${framings[framing]}\r\n`;
};

const frame = (part: Buffer, framing: Framing): Buffer =>
    framing === Framing.Chunks ? Buffer.concat([Buffer.from(`${part.length.toString(16)}\r\n`), part, Buffer.from("\r\n")]) : part;

const faults: Readonly<Record<AnswerFault, (socket: Socket, record: LoadRecord) => void>> = {
    [AnswerFault.ResetMidway]: (socket, record) => void socket.write(headOf(record, 1_000), () => void socket.resetAndDestroy()),
    [AnswerFault.CloseBeforeHead]: socket => void socket.destroy(),
    [AnswerFault.CloseMidway]: (socket, record) => void socket.end(`${headOf(record, 1_000, Framing.Length)}1`),
    [AnswerFault.ServerError]: (socket, { plan: { id } }) =>
        void socket.write(`HTTP/1.1 500 Failed\r\nAttempt-Id: ${id}\r\nServer-Seal: seal\r\nContent-Length: 0\r\n\r\n`),
    [AnswerFault.InvalidBytes]: socket => void socket.write("\x01\x02 no answer\r\n\r\n"),
};

const answer = async (socket: Socket, record: LoadRecord): Promise<void> => {
    const { plan } = record;
    const finish = (end: UpstreamEnd): void => {
        socket.off("close", onClose);
        record.upstreamEnd ??= end;
        record.upstreamEndedAt ??= performance.now();
    };
    const onClose = (): void => finish(UpstreamEnd.ClosedByNode);
    socket.once("close", onClose);
    await sleep(plan.workMs);
    if (plan.fault !== undefined) {
        finish(UpstreamEnd.Faulty);
        faults[plan.fault](socket, record);
        return;
    }
    const parts = answerPartsOf(plan);
    socket.write(headOf(record, parts[0]!.length));
    for (const part of parts) {
        if (!socket.writable) {
            return;
        }
        socket.write(frame(part, plan.framing));
        await sleep(parts.length > 1 ? plan.eventGapMs : 0);
    }
    const onWritten = (): void => finish(UpstreamEnd.Whole);
    if (plan.framing === Framing.Connection) {
        socket.end(onWritten);
    }
    else {
        socket.write(plan.framing === Framing.Chunks ? "0\r\n\r\n" : "", onWritten);
    }
};

const serve = (socket: Socket, records: ReadonlyMap<string, LoadRecord>): void => {
    let buffered: Buffer[] = [];
    let missing = headEnd.length;
    socket.setNoDelay(true);
    socket.on("error", () => undefined);
    socket.on("data", (chunk: Buffer) => {
        buffered.push(chunk);
        missing -= chunk.length;
        if (missing > 0) {
            return;
        }
        let bytes = Buffer.concat(buffered);
        for (let end = bytes.indexOf(headEnd); end >= 0; end = bytes.indexOf(headEnd)) {
            const head = bytes.subarray(0, end).toString("latin1");
            const size = end + headEnd.length + Number(lengthPattern.exec(head)?.[1] ?? 0);
            if (bytes.length < size) {
                missing = size - bytes.length;
                buffered = [bytes];
                return;
            }
            bytes = bytes.subarray(size);
            const record = records.get(idPattern.exec(head)?.[1] ?? "");
            if (record) {
                record.passedOnAt ??= performance.now();
                void answer(socket, record);
            }
            else if (head.startsWith("GET /h ")) {
                socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        }
        buffered = [bytes];
        missing = 1;
    });
};

/** An upstream that answers each request as planned. */
export interface LoadUpstream {
    readonly address: string;
    close(): void;
}

/** Starts an upstream on loopback. */
export const startLoadUpstream = async (records: ReadonlyMap<string, LoadRecord>): Promise<LoadUpstream> => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
        serve(socket, records);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", 1_024, () => resolve()));
    return {
        address: `127.0.0.1:${portOf(server as never)}`,
        close: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
};
