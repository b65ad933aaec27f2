import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { ConfigConfirmation } from "../src/core/configConfirmation";
import type { ClockReading } from "../src/utils/clockReading";
import { readClocks } from "../src/utils/clockReading";

const revokeMs = 5_000;
const usableMs = 4_500;
const applyMs = 3_000;

const before = ({ monotonicMs, wallMs }: ClockReading, ms: number): ClockReading => ({ monotonicMs: monotonicMs - ms, wallMs: wallMs - ms });

describe("confirmation of a configuration", () => {
    let clock: ReturnType<typeof install>;
    let version: number | undefined;
    let hasPeers = true;
    beforeEach(() => {
        clock = install({ now: 1_000_000, toFake: ["performance", "Date"] });
        clock.tick(60_000);
        version = 7;
        hasPeers = true;
    });
    afterEach(() => clock.uninstall());

    const create = (): ConfigConfirmation =>
        ConfigConfirmation.create({ versionInForce: () => version, revokeMs: () => revokeMs, applyMs: () => applyMs, hasPeers: () => hasPeers });
    /** A confirmation by the store, by a call that has just been answered. */
    const createRead = (): ConfigConfirmation => {
        const confirmation = create();
        confirmation.onStoredVersion(true);
        confirmation.onStoreRead(readClocks(), 1);
        return confirmation;
    };

    it("is missing at a process that has just started: its keys may have been withdrawn while it was down", () => {
        const confirmation = create();
        assert.deepEqual([confirmation.isRecent, confirmation.needsRead, confirmation.ageMs], [false, true, Number.POSITIVE_INFINITY]);
    });

    it("counts from when the store was asked, so that a long poll proves nothing of its own duration", () => {
        const confirmation = create();
        confirmation.onStoredVersion(true);
        const askedAt = readClocks();
        clock.tick(2_200);
        confirmation.onStoreRead(askedAt, 1);
        assert.equal(confirmation.ageMs, 2_200);
    });

    it("ends before the time for a revocation is over", () => {
        const confirmation = createRead();
        clock.tick(usableMs - 1);
        assert.ok(confirmation.isRecent, "just before");
        clock.tick(1);
        assert.ok(!confirmation.isRecent, "at nine tenths of the time");
    });

    it("ages by the wall clock while the VM is suspended and the monotonic clock stands still", () => {
        const confirmation = createRead();
        clock.setSystemTime(Date.now() + 10_000);
        assert.ok(!confirmation.isRecent);
    });

    it("ages by the monotonic clock if the wall clock is set back", () => {
        const confirmation = createRead();
        clock.setSystemTime(Date.now() - 3_600_000);
        clock.tick(usableMs);
        assert.ok(!confirmation.isRecent);
    });

    it("does not become younger by an older answer that arrives late", () => {
        const confirmation = createRead();
        clock.tick(1_000);
        confirmation.onStoreRead(before(readClocks(), 4_000), 1);
        assert.equal(confirmation.ageMs, 1_000);
    });

    interface PeerCase {
        readonly name: string;
        readonly inForce?: number;
        readonly peerVersion: number;
        readonly peerAgeMs: number | undefined;
        readonly askedAgoMs?: number;
        readonly ageMs: number;
    }
    const peerCases: readonly PeerCase[] = [
        { name: "by a peer adds the peer's age to the time since it was asked", peerVersion: 7, peerAgeMs: 1_500, askedAgoMs: 300, ageMs: 1_800 },
        { name: "by a peer with an older version counts: none newer was known there", peerVersion: 6, peerAgeMs: 100, ageMs: 100 },
        { name: "is not given by a peer of the last release, which states no age", peerVersion: 7, peerAgeMs: undefined, ageMs: Number.POSITIVE_INFINITY },
        {
            name: "is not given by a peer whose newer version could not be applied here",
            peerVersion: 8,
            peerAgeMs: 0,
            ageMs: Number.POSITIVE_INFINITY,
        },
        { name: "is not given while nothing is in force", inForce: 0, peerVersion: 7, peerAgeMs: 0, ageMs: Number.POSITIVE_INFINITY },
    ];
    for (const { name, inForce, peerVersion, peerAgeMs, askedAgoMs = 0, ageMs } of peerCases) {
        it(name, () => {
            version = inForce === 0 ? undefined : version;
            const confirmation = create();
            confirmation.onPeerAnswer(before(readClocks(), askedAgoMs), peerVersion, peerAgeMs);
            assert.equal(confirmation.ageMs, ageMs);
        });
    }

    it("is not given by a read of a version that could not be applied", () => {
        const confirmation = createRead();
        clock.tick(1_000);
        confirmation.onStoredVersion(false);
        confirmation.onStoreRead(readClocks(), 1);
        assert.equal(confirmation.ageMs, 1_000);
    });

    it("is not given by later reads without changes either, until a version can be applied", () => {
        const confirmation = createRead();
        confirmation.onStoredVersion(false);
        clock.tick(1_000);
        confirmation.onStoreRead(readClocks(), 1);
        assert.equal(confirmation.ageMs, 1_000, "still the invalid one");
        confirmation.onStoredVersion(true);
        confirmation.onStoreRead(readClocks(), 1);
        assert.equal(confirmation.ageMs, 0, "a valid one");
    });

    it("is not given by the store while a peer is known to have a newer version", () => {
        const confirmation = createRead();
        confirmation.onPeerReport(8);
        clock.tick(1_000);
        confirmation.onStoreRead(readClocks(), 1);
        assert.equal(confirmation.ageMs, 1_000);
        version = 8;
        confirmation.onStoreRead(readClocks(), 1);
        assert.equal(confirmation.ageMs, 0);
    });

    const restoreCases: readonly {
        readonly name: string;
        readonly hasPeers?: boolean;
        readonly tell?: (confirmation: ConfigConfirmation) => void;
        readonly isConfirmed: boolean;
    }[] = [
        { name: "is not given by a restored store, which may have lost a version that peers know", isConfirmed: false },
        { name: "is given by a restored store once a peer has answered", tell: at => at.onPeerAnswer(readClocks(), 7, undefined), isConfirmed: true },
        { name: "is given by a restored store once nodes have reported", tell: at => at.onPeerReport(7), isConfirmed: true },
        { name: "is not given by a restored store if a peer has what it lost", tell: at => at.onPeerAnswer(readClocks(), 8, undefined), isConfirmed: false },
        { name: "is given by a restored store at a node without peers", hasPeers: false, isConfirmed: true },
    ];
    for (const { name, hasPeers: isOneOfMany = true, tell, isConfirmed } of restoreCases) {
        it(name, () => {
            hasPeers = isOneOfMany;
            const confirmation = createRead();
            confirmation.onStoreRead(readClocks(), 2);
            clock.tick(1_000);
            tell?.(confirmation);
            confirmation.onStoreRead(readClocks(), 2);
            assert.equal(confirmation.ageMs, isConfirmed ? 0 : 1_000);
        });
    }

    it("lets a read of the store wait no longer than until the next one is due", () => {
        const confirmation = createRead();
        clock.tick(2_000);
        assert.deepEqual([confirmation.needsRead, confirmation.readWaitMs(2_200)], [false, 250]);
        clock.tick(250);
        assert.deepEqual([confirmation.needsRead, confirmation.readWaitMs(2_200)], [true, 0]);
    });

    it("does not have the store read without a pause while its version cannot be applied", () => {
        const confirmation = createRead();
        confirmation.onStoredVersion(false);
        clock.tick(usableMs);
        confirmation.onStoreRead(readClocks(), 1);
        assert.equal(confirmation.readWaitMs(2_200), 2_200);
    });

    it("causes no reads where no keys are needed", () => {
        const confirmation = ConfigConfirmation.create({ versionInForce: () => 7, revokeMs: () => undefined, applyMs: () => undefined, hasPeers: () => true });
        assert.deepEqual([confirmation.isRecent, confirmation.needsRead, confirmation.readWaitMs(2_200)], [true, false, 2_200]);
    });
});
