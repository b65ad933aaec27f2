import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { MemoryBudget } from "../core/memoryBudget";
import { MemoryHolder } from "../types/memoryHolder";

/** Reading pauses while a connection holds this much of bodies behind the request that is being handled, or as many requests. */
const maxAheadBytes = 16_384;
const maxAheadRequests = 4;
/** Share of the memory budget that such bodies may take on all connections together. */
const aheadShare = 0.1;

/** What a connection holds behind the request that is being handled. */
interface Line {
    /** The requests, with the bytes of their bodies that are counted in the memory budget. */
    readonly waiting: Map<IncomingMessage, number>;
    /** The only one of them whose body may still arrive. */
    newest: IncomingMessage | undefined;
    heldBytes: number;
    isPaused: boolean;
}

/**
 * Pauses the reading of connections whose callers send far ahead. The runtime stops reading for a body that nobody takes, but starts again at the end of each request,
 * and so reads any number of bodies behind the one that is being handled.
 */
export class ReadAhead {
    private readonly lines = new Map<Socket, Line>();

    private constructor(
        private readonly memory: MemoryBudget,
        private readonly cut: (socket: Socket) => void,
        private readonly isStopping: () => boolean,
    ) {}

    /** Creates it without connections; `cut` closes one for whose bodies there is no memory, `isStopping` says whether the node stops. */
    static create(memory: MemoryBudget, cut: (socket: Socket) => void, isStopping: () => boolean): ReadAhead {
        return new ReadAhead(memory, cut, isStopping);
    }

    /** Follows a connection that a server has just accepted. */
    open(socket: Socket): void {
        socket.once("close", () => {
            const line = this.lines.get(socket);
            if (line) {
                this.lines.delete(socket);
                this.charge(line, -line.heldBytes);
            }
        });
    }

    /** A request has been read that others on its connection are ahead of. */
    wait(req: IncomingMessage): void {
        const { socket } = req;
        if (!socket.destroyed) {
            const line = this.lineOf(socket);
            this.countNewest(line);
            line.waiting.set(req, 0);
            line.newest = req;
        }
    }

    /**
     * A request is handled now, as all those ahead of it have been answered. While the node stops, reading that was paused is not resumed for further requests: the
     * caller could send them without end. Returns false if the rest of this request's body is among what will not be taken.
     */
    begin(req: IncomingMessage): boolean {
        const { socket } = req;
        const line = this.lines.get(socket);
        const bytes = line?.waiting.get(req);
        if (!line || bytes === undefined) {
            return true;
        }
        line.waiting.delete(req);
        if (line.newest === req) {
            // An idle connection must not keep the head of its last request.
            line.newest = undefined;
        }
        this.charge(line, -bytes);
        if (!line.isPaused || this.isFarAhead(line)) {
            return true;
        }
        const isEnding = this.isStopping();
        if (!isEnding || !req.complete) {
            line.isPaused = false;
            socket.resume();
        }
        return !isEnding || req.complete;
    }

    /** The parser has taken what one read of a connection gave. */
    onRead(socket: Socket): void {
        const line = this.lines.get(socket);
        if (!line || line.waiting.size === 0 || socket.destroyed) {
            return;
        }
        this.countNewest(line);
        if (this.memory.usedBy(MemoryHolder.AheadBodies) > aheadShare * this.memory.limitBytes) {
            this.cut(socket);
        }
        else if (this.isFarAhead(line)) {
            line.isPaused = true;
            socket.pause();
        }
    }

    private lineOf(socket: Socket): Line {
        const known = this.lines.get(socket);
        if (known) {
            return known;
        }
        const line: Line = { waiting: new Map(), newest: undefined, heldBytes: 0, isPaused: false };
        this.lines.set(socket, line);
        // The runtime resumes connections at the end of each request, in a later tick.
        socket.on("resume", () => line.isPaused && socket.pause());
        return line;
    }

    private isFarAhead({ waiting, heldBytes }: Line): boolean {
        return heldBytes >= maxAheadBytes || waiting.size >= maxAheadRequests;
    }

    private countNewest(line: Line): void {
        const { newest, waiting } = line;
        const counted = newest && waiting.get(newest);
        if (newest && counted !== undefined) {
            waiting.set(newest, newest.readableLength);
            this.charge(line, newest.readableLength - counted);
        }
    }

    private charge(line: Line, bytes: number): void {
        if (bytes !== 0) {
            line.heldBytes += bytes;
            this.memory.charge(MemoryHolder.AheadBodies, bytes);
        }
    }
}
