import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ConfigStore } from "../src/core/configStore";
import { createOffers } from "../src/core/offers";
import { RecordKind } from "../src/types/config";

const zones = ["za", "zb", "zc"];
const models = 6;
const memoryMiB = 30;
/** Memory that least copies may take in each zone: two models. */
const capacityMiB = 2 * memoryMiB / 0.8;

const createConfig = (): ConfigStore => {
    const config = ConfigStore.create();
    const records = [...Array(models).keys()].flatMap(at => [
        { kind: RecordKind.Model, name: `m${at}`, memoryMiB, deployment: "d" },
        { kind: RecordKind.Adapter, name: `a${at}`, memoryMiB: 1, model: `m${at}` },
    ]);
    config.applyChanges(
        records.map((record, at) => ({
            kind: record.kind,
            name: record.name,
            sequence: at + 1,
            operationId: "o",
            at: 0,
            record: { schemaVersion: 2, version: "1", ...record },
        })),
    );
    return config;
};

const homesOf = (config: ConfigStore, name: string): readonly string[] =>
    zones.filter(availabilityZone => {
        const zonesOf = new Map([["d", zones]]);
        const offers = createOffers({
            config,
            availabilityZone,
            zonesByDeployment: zonesOf,
            capacityOf: () => capacityMiB,
            demandOf: () => 0,
            hasConfirmedCopy: () => false,
        });
        return offers.some(offer => offer.artifact === name && offer.minCopies > 0);
    });

describe("homes of least copies", () => {
    const config = createConfig();
    it("are dealt over the zones so that no zone is asked for more than it holds", () => {
        const homes = [...Array(models).keys()].flatMap(at => homesOf(config, `model:m${at}@1`));
        assert.equal(homes.length, models);
        zones.forEach(zone => assert.ok(homes.filter(home => home === zone).length <= 2, `${zone} is home of too many models: ${homes.join()}`));
    });
    for (const at of Array(models).keys()) {
        it(`an adapter is at home where model m${at} is`, () => {
            assert.deepEqual(homesOf(config, `adapter:a${at}@1`), homesOf(config, `model:m${at}@1`));
        });
    }
});
