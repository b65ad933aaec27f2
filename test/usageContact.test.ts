import type { Clock } from "@sinonjs/fake-timers";
import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { RankHistory } from "../src/core/rankHistory";
import { UsageContact } from "../src/core/usageContact";
import { readClocks } from "../src/utils/clockReading";
import { setupLogs } from "../src/utils/events";
import { ownerOf } from "../src/utils/hash";

const customer = "acme";

/** Guards against a node that goes on as the home beside its successor. */
describe("the contact of a home node", () => {
    let clock: Clock;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => {
        clock = install({ toFake: ["performance", "Date"] });
        clock.tick(100_000);
    });
    afterEach(() => clock.uninstall());

    interface Case {
        readonly name: string;
        readonly act: (contact: UsageContact) => void;
        /** How long contact has held; undefined without contact. */
        readonly heldMs: number | undefined;
    }

    const cases: readonly Case[] = [
        { name: "is missing before anybody was heard", act: () => undefined, heldMs: undefined },
        {
            name: "holds while the controller is heard",
            act: contact => {
                contact.onController(readClocks());
                clock.tick(1_900);
                contact.onController(readClocks());
                clock.tick(1_900);
            },
            heldMs: 3_800,
        },
        {
            name: "ends two seconds after the controller was heard, if one zone is missing",
            act: contact => {
                contact.onController(readClocks());
                clock.tick(1_000);
                contact.onZone("b", readClocks());
                clock.tick(1_000);
            },
            heldMs: undefined,
        },
        {
            name: "holds without the controller while all zones are heard",
            act: contact => {
                contact.onController(readClocks());
                for (let step = 0; step < 5; step++) {
                    clock.tick(1_000);
                    contact.onZone("b", readClocks());
                    contact.onZone("c", readClocks());
                }
            },
            heldMs: 5_000,
        },
        {
            name: "begins anew after a gap that is noticed at its end only",
            act: contact => {
                contact.onController(readClocks());
                clock.tick(2_500);
                contact.onController(readClocks());
                clock.tick(300);
            },
            heldMs: 300,
        },
        {
            name: "ends when the machine was suspended, though the monotonic clock stood still",
            act: contact => {
                contact.onController(readClocks());
                clock.setSystemTime(Date.now() + 5_000);
            },
            heldMs: undefined,
        },
    ];
    for (const { name, act, heldMs } of cases) {
        it(name, () => {
            const contact = UsageContact.create(() => ["b", "c"]);
            act(contact);
            const since = contact.since;
            assert.equal(since === undefined ? undefined : Math.round(performance.now() - since), heldMs);
        });
    }
});

/** Guards against a node that counts what it admitted before another one was the home. */
describe("the rank of a node", () => {
    let clock: Clock;
    beforeEach(() => clock = install({ toFake: ["performance"] }));
    afterEach(() => clock.uninstall());
    const members = [...Array(6).keys()].map(index => `n${index}`);
    const ranked = [...members].sort((a, b) => ownerOf(customer, [a, b]) === a ? -1 : 1);
    const [first, second, third] = ranked as [string, string, string];

    const cases = [
        { name: "is first since the list was known", self: first, lists: [members], firstSince: 0, rankSince: 0 },
        {
            name: "is first since the one before it left",
            self: second,
            lists: [members, members.filter(name => name !== first)],
            firstSince: 1_000,
            rankSince: 1_000,
        },
        {
            name: "does not change when one behind it leaves",
            self: second,
            lists: [members, members.filter(name => name !== third)],
            firstSince: 0,
            rankSince: 0,
        },
        { name: "changes when one before it joins", self: second, lists: [members.filter(name => name !== first), members], firstSince: 0, rankSince: 1_000 },
        {
            name: "is first since the one that was before it for a while left again",
            self: second,
            lists: [members.filter(name => name !== first), members, members.filter(name => name !== first)],
            firstSince: 2_000,
            rankSince: 2_000,
        },
    ];
    for (const { name, self, lists, firstSince, rankSince } of cases) {
        it(name, () => {
            const history = RankHistory.create(self);
            for (const list of lists) {
                history.update(list);
                clock.tick(1_000);
            }
            assert.deepEqual([history.firstSince(customer), history.rankSince(customer)], [firstSince, rankSince]);
        });
    }

    it("remembers a bounded number of changes, and takes forgotten ones for changes of all keys", () => {
        const history = RankHistory.create(first);
        history.update([first]);
        for (let index = 0; index < 1_000; index++) {
            clock.tick(1);
            history.update([first, `m${index}`]);
        }
        assert.ok(history.firstSince(customer) > 0);
    });
});
