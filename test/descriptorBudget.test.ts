import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DescriptorBudget } from "../src/core/descriptorBudget";

/** Of 220 descriptors 200 are reserved for files and 3 set aside: 17 remain, and one more for refusals. */
const maxDescriptors = 220;
const limit = 17;
const refusals = 1;

interface Setup {
    now: number;
    readonly closed: string[];
    readonly budget: DescriptorBudget<string>;
}

const setUp = (): Setup => {
    const setup: Setup = {
        now: 0,
        closed: [],
        budget: DescriptorBudget.create<string>({
            maxDescriptors: () => maxDescriptors,
            upstreamConnections: () => 0,
            close: connection => setup.closed.push(connection),
            now: () => setup.now,
        }),
    };
    return setup;
};

const openMany = ({ budget }: Setup, name: string, count: number): void => [...Array(count).keys()].forEach(index => void budget.open(`${name}${index}`));

describe("the descriptors of callers' connections", () => {
    const cases: readonly { readonly name: string; readonly run: (setup: Setup) => unknown; readonly closed: readonly string[]; }[] = [
        { name: "are not closed while there are enough", run: setup => openMany(setup, "idle", limit), closed: [] },
        {
            name: "close the oldest connection without a request",
            run: setup => {
                openMany(setup, "idle", limit);
                setup.now = 1_000;
                setup.budget.open("new");
            },
            closed: ["idle0"],
        },
        {
            name: "close a connection without a request before one that was used",
            run: setup => {
                setup.budget.open("used");
                setup.budget.begin("used");
                setup.budget.end("used");
                openMany(setup, "idle", limit - 1);
                setup.now = 1_000;
                setup.budget.open("new");
            },
            closed: ["idle0"],
        },
        {
            name: "close a connection that was used before a new one",
            run: setup => {
                setup.budget.open("used");
                setup.budget.begin("used");
                setup.budget.end("used");
                openMany(setup, "idle", limit - 1);
                setup.budget.open("new");
            },
            closed: ["used"],
        },
        {
            name: "make room for the upstream of a request",
            run: setup => {
                openMany(setup, "idle", limit);
                setup.now = 1_000;
                return setup.budget.begin("idle3");
            },
            closed: ["idle0"],
        },
    ];
    for (const { name, run, closed } of cases) {
        it(name, () => {
            const setup = setUp();
            run(setup);
            assert.deepEqual(setup.closed, closed);
        });
    }

    it("refuse a request if all others are in progress", () => {
        const { budget, closed } = setUp();
        const served = [...Array(10).keys()].map(index => budget.open(`c${index}`) && budget.begin(`c${index}`));
        assert.deepEqual(served, [...Array(8).keys()].map(() => true).concat(false, false));
        assert.deepEqual(closed, []);
    });

    it("stay within their limit but for refusals, and never close one with a request", () => {
        const step = fc.record({ connection: fc.nat(40).map(String), action: fc.constantFrom("open", "begin", "end", "remove"), passMs: fc.nat(400) });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 300 }), steps => {
                const setup = setUp();
                const { budget } = setup;
                const requests = new Map<string, number>();
                for (const { connection, action, passMs } of steps) {
                    setup.now += passMs;
                    const count = requests.get(connection);
                    if (action === "open" && count === undefined) {
                        requests.set(connection, 0);
                        if (!budget.open(connection)) {
                            budget.remove(connection);
                            requests.delete(connection);
                        }
                    }
                    else if (action === "begin" && count === 0) {
                        requests.set(connection, 1);
                        if (!budget.begin(connection)) {
                            budget.end(connection);
                            budget.remove(connection);
                            requests.delete(connection);
                        }
                    }
                    else if (action === "end" && count === 1) {
                        requests.set(connection, 0);
                        budget.end(connection);
                    }
                    else if (action === "remove" && count !== undefined) {
                        requests.delete(connection);
                        budget.remove(connection);
                    }
                    assert.deepEqual(setup.closed.filter(name => requests.get(name) === 1), []);
                    setup.closed.splice(0).forEach(name => requests.delete(name));
                    assert.equal(budget.connections, requests.size);
                    assert.ok(budget.used <= limit + refusals, `${budget.used}`);
                }
            }),
            { seed: 41 },
        );
    });
});
