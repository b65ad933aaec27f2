import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { StoreFreshness } from "../src/core/storeFreshness";
import { readClocks } from "../src/utils/clockReading";
import { setupLogs } from "../src/utils/events";
import { VersionNetwork, versionService as service } from "./fakes/versionNetwork";

const maxAgeMs = 2_000;

/** Guards against streams that go on at another version, at a node that missed that runners of a new version had joined. */
describe("a node that is out of step while runners of a new software version join", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    const cases = [
        { name: "does not take a stream of another node for one of the only version that it knows", isOutOfStep: true, isStoreAway: true, version: undefined },
        { name: "knows the version of a stream once the store answers", isOutOfStep: true, isStoreAway: false, version: "v1.1" },
    ];
    for (const { name, isOutOfStep, isStoreAway, version } of cases) {
        it(name, async () => {
            const network = VersionNetwork.create(2);
            await network.begin(0, "v1");
            await network.begin(1, "v1");
            await network.settle();
            const { directory, streams } = network.nodes[1]!;
            if (isOutOfStep) {
                network.outOfStep.add(directory);
            }
            network.setPresent("v1.1", true);
            await network.begin(0, "v1.1");
            await network.settle();
            network.store.isDown = isStoreAway;
            const requestId = [...network.begun].find(([, begunAt]) => begunAt === "v1.1")![0];
            assert.equal((await streams.originOf(service, requestId)).version, version);
        });
    }

    interface ContactCase {
        readonly name: string;
        /** The last contact; a contact is as old as the request that it answers. */
        readonly contactAgoMs?: number;
        /** Time for which the VM was suspended since: only the wall clock shows it. */
        readonly suspendedMs?: number;
        readonly isInContact: boolean;
    }
    const contactCases: readonly ContactCase[] = [
        { name: "has no contact at its start", isInContact: false },
        { name: "is in contact after an answer", contactAgoMs: 400, isInContact: true },
        { name: "is not in contact without a recent answer", contactAgoMs: 2_000, isInContact: false },
        { name: "is not in contact after it was suspended", contactAgoMs: 400, suspendedMs: 4_000, isInContact: false },
    ];
    for (const { name, contactAgoMs, suspendedMs = 0, isInContact } of contactCases) {
        it(name, () => {
            const clock = install({ toFake: ["performance", "Date"] });
            try {
                const freshness = StoreFreshness.create(() => false, () => maxAgeMs);
                if (contactAgoMs !== undefined) {
                    freshness.onContact(readClocks());
                    clock.tick(contactAgoMs);
                    clock.setSystemTime(Date.now() + suspendedMs);
                }
                assert.equal(freshness.isInContact, isInContact);
            }
            finally {
                clock.uninstall();
            }
        });
    }
});
