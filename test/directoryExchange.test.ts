import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamDirectory } from "../src/core/upstreamDirectory";
import { applyDirectory, serveDirectory } from "../src/placement/directoryExchange";
import { decodeServer } from "../src/platform/directoryDecoder";
import { createStoreVersion } from "../src/types/storeVersion";
import type { DirectoryChange, UpstreamServer } from "../src/types/upstreamServer";

const rowOf = (state: string, extra: object = {}): Buffer =>
    Buffer.from(JSON.stringify({ service: "desk", addr: "10.0.0.1:1", zone: "a", slots: 4, state, born: 5, ...extra }));

/** Guards against belief in a peer's older directory: an upstream that has left would be used again. */
describe("directory as told by peers", () => {
    it("does not restore a deleted upstream from an older entry of a peer", () => {
        const directory = UpstreamDirectory.create();
        const server = decodeServer("u1", rowOf("ready"))!;
        directory.apply({ id: "u1", version: 3, server });
        directory.apply({ id: "u1", version: 5 });
        directory.apply({ id: "u1", version: 4, server });
        assert.deepEqual(directory.readyOf("desk"), []);
        assert.deepEqual(directory.changesSince(3).map(({ version }) => version), [5]);
    });

    it("keeps what a restored store says when a peer tells what it knew before", () => {
        const directory = UpstreamDirectory.create();
        const server = decodeServer("u1", rowOf("ready"))!;
        const [before, after] = [createStoreVersion(1, 136), createStoreVersion(2, 101)];
        directory.replace([{ id: "u1", version: createStoreVersion(2, 90), server: { ...server, slots: 7 } }], after, 0);
        applyDirectory(directory, { directoryVersion: before, changes: [{ id: "u1", version: before, server }, { id: "u2", version: before, server }] });
        assert.deepEqual([directory.get("u1")?.slots, directory.get("u2"), directory.version], [7, undefined, after]);
    });

    it("tells a peer that removals are missing by sending the whole directory", () => {
        const [restarted, behind] = [UpstreamDirectory.create(), UpstreamDirectory.create()];
        const server = decodeServer("u1", rowOf("ready"))!;
        behind.replace([{ id: "u1", version: 3, server }, { id: "u2", version: 4, server: { ...server, id: "u2" } }], 4, 0);
        restarted.replace([{ id: "u2", version: 4, server: { ...server, id: "u2" } }], 9, 0);
        applyDirectory(behind, serveDirectory(restarted, behind.version));
        assert.deepEqual(behind.readyOf("desk").map(({ id }) => id), ["u2"]);
        assert.equal(behind.version, 9);
    });

    it("does not restore an upstream that was deleted before a restarted node's first read of the table", () => {
        const directory = UpstreamDirectory.create();
        const server = decodeServer("u1", rowOf("ready"))!;
        directory.replace([{ id: "u2", version: 4, server: { ...server, id: "u2" } }], 9, 0);
        // The answer of a peer that is behind, to a report sent before the read.
        directory.apply({ id: "u1", version: 3, server });
        assert.deepEqual(directory.readyOf("desk").map(({ id }) => id), ["u2"]);
        directory.apply({ id: "u1", version: 12, server });
        assert.deepEqual(directory.readyOf("desk").map(({ id }) => id), ["u2", "u1"]);
    });

    const serverOf = (id: string, extra: object = {}): UpstreamServer => decodeServer(id, rowOf("ready", extra))!;
    const changeOf = (id: string, version: number, extra?: object): DirectoryChange => ({ id, version, server: serverOf(id, extra) });
    const [lastOfEra, firstOfNext] = [createStoreVersion(1, 136), createStoreVersion(2, 101)];

    interface WholeDirectoryCase {
        readonly name: string;
        /** The node's last read of the table. */
        readonly read: readonly DirectoryChange[];
        readonly readVersion: number;
        /** Changes that it received after the read. */
        readonly changes?: readonly DirectoryChange[];
        /** The directory of a peer. */
        readonly peer: readonly DirectoryChange[];
        readonly peerVersion: number;
        /** Slots of the upstreams that are used afterwards. */
        readonly slots: Readonly<Record<string, number>>;
        readonly version: number;
    }
    const wholeDirectoryCases: readonly WholeDirectoryCase[] = [
        {
            name: "does not restore an upstream that was deleted before the read",
            read: [changeOf("u2", 4)],
            readVersion: 9,
            peer: [changeOf("u1", 3), changeOf("u2", 4)],
            peerVersion: 8,
            slots: { u2: 4 },
            version: 9,
        },
        {
            name: "does not restore an upstream that was deleted after the read",
            read: [changeOf("u1", 3), changeOf("u2", 4)],
            readVersion: 9,
            changes: [{ id: "u1", version: 12 }],
            peer: [changeOf("u1", 3), changeOf("u2", 4)],
            peerVersion: 11,
            slots: { u2: 4 },
            version: 11,
        },
        {
            name: "does not restore an upstream when the peer is as new as the read, but was told of it by an older peer",
            read: [changeOf("u2", 4)],
            readVersion: 9,
            peer: [changeOf("u1", 3), changeOf("u2", 4)],
            peerVersion: 9,
            slots: { u2: 4 },
            version: 9,
        },
        {
            name: "keeps an upstream that the older peer does not have yet",
            read: [changeOf("u1", 9), changeOf("u2", 4)],
            readVersion: 9,
            peer: [changeOf("u2", 4)],
            peerVersion: 8,
            slots: { u2: 4, u1: 4 },
            version: 9,
        },
        {
            name: "takes a newer row from a peer that withholds a removal, and so names an older version",
            read: [changeOf("u1", 3), changeOf("u2", 4)],
            readVersion: 9,
            peer: [changeOf("u1", 3), changeOf("u2", 12, { slots: 7 }), changeOf("u3", 11)],
            peerVersion: 8,
            slots: { u1: 4, u2: 7, u3: 4 },
            version: 9,
        },
        {
            name: "does not restore an upstream that a peer knows from before a restore of the store",
            read: [changeOf("u2", createStoreVersion(2, 90))],
            readVersion: firstOfNext,
            peer: [changeOf("u1", lastOfEra), changeOf("u2", lastOfEra)],
            peerVersion: lastOfEra,
            slots: { u2: 4 },
            version: firstOfNext,
        },
        {
            name: "is replaced by the directory of a newer peer",
            read: [changeOf("u1", 3), changeOf("u2", 4)],
            readVersion: 9,
            peer: [changeOf("u2", 4), changeOf("u3", 2)],
            peerVersion: 10,
            slots: { u2: 4, u3: 4 },
            version: 10,
        },
    ];
    for (const { name, read, readVersion, changes = [], peer, peerVersion, slots, version } of wholeDirectoryCases) {
        it(`given a peer's whole directory, ${name}`, () => {
            const directory = UpstreamDirectory.create();
            directory.replace(read, readVersion, 0);
            changes.forEach(change => directory.apply(change));
            applyDirectory(directory, { directoryVersion: peerVersion, changes: peer, isWholeDirectory: true });
            assert.deepEqual(Object.fromEntries(directory.readyOf("desk").map(server => [server.id, server.slots])), slots);
            assert.equal(directory.version, version);
        });
    }
});
