import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { UnfinishedHeads } from "../src/core/unfinishedHeads";
import { HeadWatch } from "../src/forward/headWatch";

/** Number of the runtime's callback for bodies. */
const bodyCallback = 3;

describe("the watch of heads", () => {
    /** Guards against wrappers that pile up on parsers that the runtime takes back before their connection is closed, as it does at CONNECT. */
    it("leaves a parser that several connections used with the runtime's own callback", () => {
        const heads = UnfinishedHeads.create<Socket>({ heapLimitBytes: () => 1_000_000 });
        const watch = HeadWatch.create(heads, () => false, () => undefined);
        const original = (): void => undefined;
        const parser = { [bodyCallback]: original };
        const sockets = Array.from({ length: 5 }, () => Object.assign(new EventEmitter(), { parser, bytesRead: 0 }));
        sockets.forEach(socket => watch.open(socket as unknown as Socket));
        sockets.forEach(socket => socket.emit("close"));
        assert.equal(parser[bodyCallback], original);
    });
});
