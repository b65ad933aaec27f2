import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { BodyGrant } from "../core/memoryBudget";
import { MappedBuffer } from "../utils/mappedBuffer";

/** Memory of the large body of one request, given back once the request has ended and no connection sends from it any more. */
export class BodyMemory {
    private readonly buffer: MappedBuffer;
    /** Connections on which the body was sent. */
    private readonly senders = new Set<Socket>();

    private constructor(res: ServerResponse, private readonly grant: BodyGrant, bytes: number) {
        try {
            this.buffer = MappedBuffer.create(bytes);
        }
        catch (err) {
            grant.release();
            throw err;
        }
        if (res.closed) {
            this.end();
        }
        else {
            res.once("close", () => this.end());
        }
    }

    /** Maps memory that has been granted, for a request until its response is closed. */
    static create(res: ServerResponse, grant: BodyGrant, bytes: number): BodyMemory {
        return new BodyMemory(res, grant, bytes);
    }

    /** The memory; empty once it was given back. */
    get bytes(): Buffer {
        return this.buffer.bytes;
    }

    /** Gives back what the body does not need; to be called before it is sent. */
    shrinkTo(bytes: number): void {
        this.buffer.shrinkTo(bytes);
        this.grant.shrinkTo(bytes);
    }

    /** A connection begins to send the body. Its answer may be complete before the body is sent. */
    onSend(socket: Socket): void {
        this.senders.add(socket);
    }

    private end(): void {
        const isSending = (socket: Socket): boolean => !socket.destroyed && socket.writableLength > 0;
        const sender = [...this.senders].find(isSending);
        if (!sender) {
            this.senders.clear();
            this.shrinkTo(0);
            return;
        }
        const onSent = (): void => {
            sender.off("drain", onSent);
            sender.off("close", onSent);
            this.end();
        };
        sender.on("drain", onSent);
        sender.on("close", onSent);
    }
}
