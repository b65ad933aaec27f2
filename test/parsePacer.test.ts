import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { ParsePacer } from "../src/forward/parsePacer";

/** A connection that can be paused. */
class PausableSocket extends EventEmitter {
    destroyed = false;
    private isStopped = false;
    /** How often it was resumed. */
    resumes = 0;

    isPaused(): boolean {
        return this.isStopped;
    }

    pause(): void {
        this.isStopped = true;
    }

    resume(): void {
        this.isStopped = false;
        this.resumes++;
        this.emit("resume");
    }
}

const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

const openAll = (
    count: number,
): { readonly pacer: ParsePacer; readonly sockets: readonly PausableSocket[]; readonly count: (index: number, ms: number) => void; } => {
    const pacer = ParsePacer.create();
    const sockets = Array.from({ length: count }, () => new PausableSocket());
    sockets.forEach(socket => pacer.open(socket as unknown as Socket));
    return { pacer, sockets, count: (index, ms) => pacer.count(sockets[index] as unknown as Socket, ms) };
};

const pausedOf = (sockets: readonly PausableSocket[]): readonly boolean[] => sockets.map(socket => socket.isPaused());

describe("the pacer of parsing", () => {
    const cases: readonly { readonly name: string; readonly reads: readonly (readonly [index: number, ms: number])[]; readonly paused: readonly boolean[]; }[] =
        [
            { name: "reads on after short reads", reads: [[0, 0.4], [0, 0.4], [1, 0.4]], paused: [false, false, false] },
            { name: "pauses a connection whose reads of a turn add up", reads: [[0, 0.6], [0, 0.6]], paused: [true, false, false] },
            { name: "pauses a connection after a long read", reads: [[0, 2]], paused: [true, false, false] },
            { name: "pauses all connections that were not read after long reads", reads: [[2, 0.1], [0, 5]], paused: [true, true, false] },
        ];
    for (const { name, reads, paused } of cases) {
        it(name, () => {
            const { sockets, count } = openAll(3);
            reads.forEach(([index, ms]) => count(index, ms));
            assert.deepEqual(pausedOf(sockets), paused);
        });
    }

    it("resumes connections that were not read in the next turn, and those of long reads one after the other from the turn after it", async () => {
        const { sockets, count } = openAll(4);
        count(0, 5);
        count(1, 6);
        await nextTurn();
        assert.deepEqual(pausedOf(sockets), [true, true, false, false]);
        await nextTurn();
        assert.deepEqual(pausedOf(sockets), [false, true, false, false]);
        await nextTurn();
        assert.deepEqual(pausedOf(sockets), [false, false, false, false]);
    });

    it("resumes as many connections of long reads as a turn has time for, in order", async () => {
        const { sockets, count } = openAll(4);
        [3, 1, 2, 0].forEach(index => count(index, 1.5));
        await nextTurn();
        assert.deepEqual(pausedOf(sockets), [true, false, true, false]);
        await nextTurn();
        assert.deepEqual(pausedOf(sockets), [false, false, false, false]);
    });

    it("lets a connection that is accepted after long reads wait behind those that were there before", async () => {
        const { pacer, sockets, count } = openAll(3);
        const order: number[] = [];
        const newest = new PausableSocket();
        [...sockets, newest].forEach((socket, index) => socket.on("resume", () => order.push(index)));
        count(1, 5);
        pacer.open(newest as unknown as Socket);
        assert.equal(newest.isPaused(), true);
        await nextTurn();
        assert.deepEqual(order, [0, 2, 3]);
    });

    it("resumes a connection of long reads ahead of the others in one turn of four", async () => {
        const { sockets, count } = openAll(3);
        const order: number[] = [];
        sockets.forEach((socket, index) => socket.on("resume", () => order.push(index)));
        const firsts: (number | undefined)[] = [];
        for (let turn = 0; turn < 16; turn++) {
            count(turn % 2, 5);
            await nextTurn();
            firsts.push(order[0]);
            order.length = 0;
        }
        assert.equal(firsts.slice(4).filter(index => index !== 2).length, 3);
    });

    /** Guards against idle connections that are resumed ahead of the others in each turn, as their last reads are the oldest. */
    it("resumes a connection of long reads though others of them are idle and new ones fill each turn", async () => {
        const { pacer, sockets, count } = openAll(5);
        for (let index = 0; index < 5; index++) {
            count(index, 1.5);
            await nextTurn();
        }
        for (let turn = 0; turn < 5 && sockets[4]!.resumes === 0; turn++) {
            const newest = new PausableSocket();
            pacer.open(newest as unknown as Socket);
            pacer.count(newest as unknown as Socket, 5);
            await nextTurn();
        }
        assert.equal(sockets[4]!.resumes, 1);
    });

    it("leaves a connection paused that the reader of its body has paused before it is told of an earlier resume", async () => {
        const { sockets: [socket], count } = openAll(1);
        socket!.pause();
        count(0, 2);
        socket!.emit("resume");
        await nextTurn();
        await nextTurn();
        assert.deepEqual([socket!.isPaused(), socket!.resumes], [true, 0]);
    });

    it("leaves a connection paused that the reader of its body has paused", async () => {
        const { sockets: [socket], count } = openAll(1);
        socket!.pause();
        count(0, 2);
        await nextTurn();
        await nextTurn();
        assert.deepEqual([socket!.isPaused(), socket!.resumes], [true, 0]);
    });

    it("keeps a waiting connection paused although the reader of its body resumes it, until a later turn", async () => {
        const { sockets: [socket], count } = openAll(1);
        socket!.pause();
        count(0, 2);
        socket!.resume();
        assert.equal(socket!.isPaused(), true);
        await nextTurn();
        assert.equal(socket!.isPaused(), false);
    });

    it("resumes no connection that was closed", async () => {
        const { sockets: [socket], count } = openAll(1);
        count(0, 2);
        socket!.destroyed = true;
        socket!.emit("close");
        await nextTurn();
        await nextTurn();
        assert.equal(socket!.resumes, 0);
    });
});
