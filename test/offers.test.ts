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

const homeZonesOf = (config: ConfigStore, name: string): readonly string[] =>
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

describe("home zones of minimum copies", () => {
    const config = createConfig();
    it("are distributed so that no zone has more than fits", () => {
        const homeZones = [...Array(models).keys()].flatMap(at => homeZonesOf(config, `model:m${at}@1`));
        assert.equal(homeZones.length, models);
        zones.forEach(zone =>
            assert.ok(homeZones.filter(home => home === zone).length <= 2, `${zone} is the home zone of too many models: ${homeZones.join()}`)
        );
    });
    for (const at of Array(models).keys()) {
        it(`an adapter has the home zone of its model m${at}`, () => {
            assert.deepEqual(homeZonesOf(config, `adapter:a${at}@1`), homeZonesOf(config, `model:m${at}@1`));
        });
    }
});
