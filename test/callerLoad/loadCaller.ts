import type { Socket } from "node:net";
import { connect } from "node:net";
import type { Random } from "../../src/utils/random";
import { pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { ArrivedAnswer } from "./answerReader";
import { AnswerReader } from "./answerReader";
import type { LoadNode } from "./loadNode";
import type { LoadOptions } from "./loadOptions";
import type { LoadRecord } from "./loadRecord";
import { CallerEnd } from "./loadRecord";
import type { RequestPlan } from "./requestPlan";
import { answerPartsOf, drawRequest, requestBodyOf } from "./requestPlan";

/** A caller that has no answer so long after its deadline gives up. */
const patienceMs = 2_500;
const maxThinkMs = 100;
const refusedPauseMs = 200;
const bodyPieces = 8;

const chunked = (bytes: Buffer): Buffer =>
    bytes.length === 0 ? bytes : Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`), bytes, Buffer.from("\r\n")]);

const headOf = ({ id, route, deadlineMs, bodyBytes, isBodyChunked }: RequestPlan, isConnectionPerRequest: boolean): string =>
    `POST /${route.name}/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: ${deadlineMs}\r\n${
        isConnectionPerRequest ? "Connection: close\r\n" : ""
    }${isBodyChunked ? "Transfer-Encoding: chunked" : `Content-Length: ${bodyBytes}`}\r\n\r\n`;

const piecesOf = (plan: RequestPlan, isConnectionPerRequest: boolean): readonly Buffer[] => {
    const body = requestBodyOf(plan);
    const size = Math.max(1, Math.ceil(body.length / (plan.bodyMs > 0 ? bodyPieces : 2)));
    const parts = [...Array(Math.ceil(body.length / size)).keys()].map(index => body.subarray(index * size, (index + 1) * size));
    const pieces = [Buffer.from(headOf(plan, isConnectionPerRequest)), ...(plan.isBodyChunked ? [...parts.map(chunked), Buffer.from("0\r\n\r\n")] : parts)];
    return isConnectionPerRequest ? [Buffer.concat(pieces)] : pieces;
};

/** A caller that sends one request after the other, on a connection that it keeps until its node closes it, or on one each. */
export class LoadCaller {
    private socket: Socket | undefined;
    private node: LoadNode | undefined;
    private requestCount = 0;

    private constructor(
        private readonly name: string,
        private readonly nodes: readonly LoadNode[],
        private readonly records: Map<string, LoadRecord>,
        private readonly options: LoadOptions,
        private readonly random: Random,
    ) {}

    static create(name: string, nodes: readonly LoadNode[], records: Map<string, LoadRecord>, options: LoadOptions, random: Random): LoadCaller {
        return new LoadCaller(name, nodes, records, options, random);
    }

    /** Sends requests until the signal aborts, and waits for the last answer. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const socket = this.socket ?? await this.open();
            if (socket) {
                const plan = drawRequest(`${this.name}-${++this.requestCount}`, this.options, this.random);
                const record: LoadRecord = { plan, node: this.node!.name, startedAt: performance.now() };
                this.records.set(plan.id, record);
                await this.exchange(socket, record);
            }
            await sleep(socket ? maxThinkMs * this.random() : refusedPauseMs, signal);
        }
        this.socket?.destroy();
    }

    private async open(): Promise<Socket | undefined> {
        this.node = pick(this.nodes.filter(({ isReady }) => isReady || this.options.isConnectionPerRequest), this.random);
        if (!this.node) {
            return undefined;
        }
        const socket = connect(this.node.port, "127.0.0.1");
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        socket.once("close", () => {
            if (this.socket === socket) {
                this.socket = undefined;
            }
        });
        const isOpen = await new Promise<boolean>(resolve => {
            socket.once("connect", () => resolve(true));
            socket.once("close", () => resolve(false));
        });
        this.socket = isOpen && !socket.destroyed ? socket : undefined;
        return this.socket;
    }

    private exchange(socket: Socket, record: LoadRecord): Promise<void> {
        const { plan } = record;
        return new Promise(resolve => {
            const reader = AnswerReader.create();
            const finish = (end: CallerEnd, answer = reader.read()): void => {
                if (record.end !== undefined) {
                    return;
                }
                record.end = end;
                record.status = answer?.status;
                record.endedAt = performance.now();
                clearTimeout(timer);
                socket.off("data", onData);
                socket.off("close", onClose);
                // An answer may come before the body is sent; the connection is of no use then.
                if (this.options.isConnectionPerRequest || end !== CallerEnd.Whole || record.sentAt === undefined || answer?.endsConnection) {
                    socket.destroy();
                    this.socket = undefined;
                }
                resolve();
            };
            const onData = (chunk: Buffer): void => {
                if (reader.isEmpty && plan.readPauseMs > 0) {
                    socket.pause();
                    setTimeout(() => socket.resume(), plan.readPauseMs);
                }
                const answer = reader.push(chunk);
                if (answer) {
                    finish(this.isSound(plan, answer) ? CallerEnd.Whole : CallerEnd.WrongBody, answer);
                }
            };
            const onClose = (): void => finish(reader.isEmpty ? CallerEnd.Closed : CallerEnd.Cut);
            const timer = setTimeout(() => finish(CallerEnd.None), plan.deadlineMs + plan.bodyMs + plan.readPauseMs + patienceMs);
            socket.on("data", onData);
            socket.on("close", onClose);
            void this.send(socket, record);
        });
    }

    private async send(socket: Socket, record: LoadRecord): Promise<void> {
        const pieces = piecesOf(record.plan, this.options.isConnectionPerRequest);
        for (const [index, piece] of pieces.entries()) {
            if (!socket.writable || record.end !== undefined) {
                return;
            }
            const isLast = index === pieces.length - 1;
            socket.write(piece, err => {
                if (isLast && !err) {
                    record.sentAt = performance.now();
                }
            });
            await sleep(isLast ? 0 : record.plan.bodyMs / pieces.length);
        }
    }

    private isSound(plan: RequestPlan, { status, body }: ArrivedAnswer): boolean {
        return status !== 200 || Buffer.concat(answerPartsOf(plan)).equals(body);
    }
}
