import type { Socket } from "node:net";
import { ChunkJoiner } from "../utils/chunkJoiner";
import { readPacer } from "../utils/readPacer";

/** Passes the body of an answer on: the parts of one read together, and none once it has been given up. */
export class AnswerFlow {
    private readonly joiner: ChunkJoiner;
    private isFlushScheduled = false;
    private isFull = false;
    /** Called once the sink has taken the whole body. */
    private onTaken: (() => void) | undefined;

    private constructor(deliver: (bytes: Buffer) => void) {
        this.joiner = ChunkJoiner.create(deliver);
    }

    /** Creates the flow of one answer. */
    static create(deliver: (bytes: Buffer) => void): AnswerFlow {
        return new AnswerFlow(deliver);
    }

    /** Adds a part that the parser has delivered. */
    add(part: Buffer): void {
        this.joiner.add(part);
        if (!this.isFlushScheduled) {
            this.isFlushScheduled = true;
            // The parser takes all of a read in one go.
            queueMicrotask(() => this.flush());
        }
    }

    /** Passes on what has been added. */
    flush(): void {
        this.isFlushScheduled = false;
        this.joiner.flush();
    }

    /** Forgets what has been added, and the end. */
    drop(): void {
        this.onTaken = undefined;
        this.joiner.drop();
    }

    /** Pauses the upstream, as the sink is full; what has been read is still passed on. */
    pause(socket: Socket): void {
        this.isFull = true;
        readPacer.hold(socket);
    }

    /** Lets the upstream go on, as the sink takes more; may be called for each part that the sink was full after. */
    resume(socket: Socket): void {
        this.isFull = false;
        readPacer.release(socket);
        const { onTaken } = this;
        this.onTaken = undefined;
        onTaken?.();
    }

    /** Calls `onTaken` once the sink is not full: the body has arrived in full. */
    end(onTaken: () => void): void {
        if (this.isFull) {
            this.onTaken = onTaken;
        }
        else {
            onTaken();
        }
    }
}
