import type { Socket } from "node:net";
import { sleep } from "../../src/utils/time";

const answerTimeoutMs = 10_000;

/** The head of a request with a header that says how its body is framed. */
export const headOf = (framing: string): string => `POST /desk/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id-1\r\nDeadline-Ms: 8000\r\n${framing}\r\n\r\n`;

/** One chunk of a body; nothing for no bytes, which would be the last chunk. */
export const chunkOf = (part: Buffer): Buffer =>
    part.length === 0 ? part : Buffer.concat([Buffer.from(`${part.length.toString(16)}\r\n`), part, Buffer.from("\r\n")]);

/** Splits bytes at positions. */
export const cutAt = (bytes: Buffer, positions: readonly number[]): readonly Buffer[] => {
    const bounds = [0, ...positions.filter(position => position > 0 && position < bytes.length).sort((a, b) => a - b), bytes.length];
    return bounds.slice(1).map((end, index) => bytes.subarray(bounds[index], end)).filter(part => part.length > 0);
};

/** A request as its parts are written, one after the other. */
export interface Sending {
    readonly parts: readonly (Buffer | string)[];
    readonly pauseMs?: number;
}

/** Status and body of the answer; without a status if none came in time. */
export interface Answer {
    readonly status?: number;
    readonly body: string;
}

const readAnswer = (socket: Socket): Promise<Answer> =>
    new Promise(resolve => {
        let text = "";
        const finish = (answer: Answer): void => {
            clearTimeout(timer);
            socket.removeAllListeners("data");
            resolve(answer);
        };
        const timer = setTimeout(() => finish({ body: text }), answerTimeoutMs);
        socket.on("data", data => {
            text += data.toString("latin1").replace(/^HTTP\/1.1 100 Continue\r\n\r\n/, "");
            const [, status, length] = /^HTTP\/1.1 (\d+) [^]*?\r\ncontent-length: (\d+)\r\n/i.exec(text) ?? [];
            const body = text.slice(text.indexOf("\r\n\r\n") + 4);
            if (status && body.length === Number(length)) {
                finish({ status: Number(status), body });
            }
        });
        socket.once("close", () => finish({ body: text }));
    });

/** Writes a request and waits for its answer. */
export const sendParts = async (socket: Socket, { parts, pauseMs }: Sending): Promise<Answer> => {
    const answer = readAnswer(socket);
    for (const part of parts) {
        socket.write(part);
        if (pauseMs !== undefined) {
            await sleep(pauseMs);
        }
    }
    return answer;
};
