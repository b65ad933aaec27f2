import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ConfigStore } from "../src/core/configStore";
import { createOffers } from "../src/core/offers";
import { RecordKind } from "../src/types/config";

const zones = ["za", "zb", "zc"];
const models = 6;
const memoryMiB = 30;
/** Memory of each zone: two models fit into the share for minimum copies. */
const capacityMiB = 2 * memoryMiB / 0.8;

const createConfig = (): ConfigStore => {
    const config = ConfigStore.create();
    const records = [...Array(models).keys()].flatMap(index => [
        { kind: RecordKind.Model, name: `m${index}`, memoryMiB, deployment: "d" },
        { kind: RecordKind.Adapter, name: `a${index}`, memoryMiB: 1, model: `m${index}` },
    ]);
    config.applyChanges(
        records.map((record, index) => ({
            kind: record.kind,
            name: record.name,
            sequence: index + 1,
            operationId: "o",
            at: 0,
            record: { schemaVersion: 2, version: "1", ...record },
        })),
    );
    return config;
};

const homeZonesOf = (config: ConfigStore, name: string): readonly string[] =>
    zones.filter(availabilityZone => {
        const zonesByDeployment = new Map([["d", zones]]);
        const offers = createOffers({
            config,
            availabilityZone,
            zonesByDeployment,
            capacityOf: () => capacityMiB,
            demandOf: () => 0,
            hasConfirmedCopy: () => false,
        });
        return offers.some(offer => offer.artifact === name && offer.minCopies > 0);
    });

describe("home zones of minimum copies", () => {
    const config = createConfig();
    it("are distributed so that no zone has more than fits", () => {
        const homeZones = [...Array(models).keys()].flatMap(index => homeZonesOf(config, `model:m${index}@1`));
        assert.equal(homeZones.length, models);
        zones.forEach(zone =>
            assert.ok(homeZones.filter(home => home === zone).length <= 2, `${zone} is the home zone of too many models: ${homeZones.join()}`)
        );
    });
    for (const index of Array(models).keys()) {
        it(`are the same for an adapter as for its model m${index}`, () => {
            assert.deepEqual(homeZonesOf(config, `adapter:a${index}@1`), homeZonesOf(config, `model:m${index}@1`));
        });
    }
});
