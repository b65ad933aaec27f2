import type { Socket } from "node:net";
import { UnfinishedHeads } from "../core/unfinishedHeads";

/** Bytes of the shortest header with its line end. */
const minHeaderBytes = 4;

/** The part of undici's parser of a connection that is used here, which is not documented: headers and trailers that have been read, names and values alternating. */
interface AnswerParser {
    readonly headers?: readonly unknown[];
}

const parserOf = (socket: Socket): AnswerParser | undefined => {
    const symbol = Object.getOwnPropertySymbols(socket).find(({ description }) => description === "parser");
    return symbol && (socket as unknown as Readonly<Record<symbol, AnswerParser | undefined>>)[symbol];
};

/** Bounds what all connections to upstreams together hold of heads and trailers of answers that have not been read to their end. */
export class AnswerHeads {
    private readonly giveUps = new Map<Socket, () => void>();
    private readonly heads: UnfinishedHeads<Socket>;

    private constructor(heapLimitBytes: () => number) {
        this.heads = UnfinishedHeads.create({ heapLimitBytes });
    }

    /** Creates the bound of a process, whose runtime ends it at a size of the heap. */
    static create(heapLimitBytes: () => number): AnswerHeads {
        return new AnswerHeads(heapLimitBytes);
    }

    /** Follows a connection that carries a request; `giveUp` ends it if there is no room for its head. */
    follow(socket: Socket, giveUp: () => void): void {
        this.giveUps.set(socket, giveUp);
    }

    /** A part of the answer has been read; `bytes` have been since the last whole head or part of a body. */
    onRead(socket: Socket, bytes: number): void {
        const parser = parserOf(socket);
        const headers = parser?.headers ? parser.headers.length / 2 : bytes / minHeaderBytes;
        this.heads.hold(socket, headers === 0 ? 0 : bytes, headers).forEach(closed => this.giveUps.get(closed)?.());
    }

    release(socket: Socket): void {
        this.giveUps.delete(socket);
        this.heads.release(socket);
    }
}
