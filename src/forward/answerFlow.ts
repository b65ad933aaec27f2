import type { Dispatcher } from "undici";
import { ChunkJoiner } from "../utils/chunkJoiner";

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

    /** Forgets what has been added. */
    drop(): void {
        this.joiner.drop();
    }

    /** Pauses the upstream, as the sink is full. */
    pause(controller: Dispatcher.DispatchController): void {
        this.isFull = true;
        controller.pause();
    }

    /** Lets the upstream go on, as the sink takes more. */
    resume(controller: Dispatcher.DispatchController): void {
        this.isFull = false;
        this.onTaken?.();
        controller.resume();
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
