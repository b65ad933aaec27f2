import { z } from "zod";
import type { SettingDefinition, SettingFault } from "./settingSpecs";
import { defineSettings, integerSpec, settingSpec, validateSettings } from "./settingSpecs";

const isUrl = (text: string): boolean => {
    try {
        return ["http:", "https:"].includes(new URL(text).protocol);
    }
    catch {
        return false;
    }
};
const text = z.string().min(1);
const url = z.string().refine(isUrl).transform(value => value.replace(/\/+$/, ""));
const address = z.string().regex(/^(\[[0-9a-fA-F:]+\]|[0-9.]+):\d{1,5}$/).refine(value => Number(value.slice(value.lastIndexOf(":") + 1)) <= 65_535);
const secretText = z.string().min(16);

const specs = {
    listen: settingSpec({ schema: address, allowed: "IP:port, for example 10.0.0.5:8080", description: "address on which the node listens" }),
    nodeId: settingSpec({ schema: text, allowed: "a non-empty string", description: "name of the VM, as in the platform's VM list" }),
    availabilityZone: settingSpec({ schema: text, allowed: "a non-empty string", description: "availability zone of the VM" }),
    advertiseUrl: settingSpec({ schema: url, allowed: "an http or https URL", description: "URL at which peers and callers reach the node" }),
    tableUrl: settingSpec({ schema: url, allowed: "an http or https URL", description: "URL of the platform's table service" }),
    objectStoreUrl: settingSpec({ schema: url, allowed: "an http or https URL", description: "URL of the platform's object store" }),
    vmListUrl: settingSpec({ schema: url, allowed: "an http or https URL", description: "URL of the platform's VM list" }),
    peerSecret: settingSpec({
        schema: secretText,
        allowed: "at least 16 characters",
        secret: true,
        description: "secret that the nodes share to authenticate each other",
    }),
    operatorToken: settingSpec({ schema: secretText, allowed: "at least 16 characters", secret: true, description: "bearer token of the operators" }),
    tlsKeyFile: settingSpec({ schema: text.optional(), allowed: "a file path", description: "private key in PEM; together with a certificate it enables TLS" }),
    tlsCertificateFile: settingSpec({ schema: text.optional(), allowed: "a file path", description: "certificate in PEM" }),
    tlsCaFile: settingSpec({
        schema: text.optional(),
        allowed: "a file path",
        description: "CA certificate in PEM that peers' certificates are verified against",
    }),
    logLevel: settingSpec({
        schema: z.enum(["debug", "info", "warn", "error"]),
        allowed: "debug, info, warn or error",
        defaultValue: "info",
        description: "lowest severity that is logged",
    }),
    traceFile: settingSpec({
        schema: text.optional(),
        allowed: "a file path",
        description: "file to which every decision is appended as a JSON line, for replay",
    }),
    maxBodyBytes: integerSpec(1_024, 1_073_741_824, 4_194_304, "bytes", "maximum body size of a caller's request"),
    bodyTimeoutMs: integerSpec(100, 600_000, 10_000, "ms", "timeout for receiving the body of a caller's request"),
    defaultDeadlineMs: integerSpec(100, 3_600_000, 120_000, "ms", "deadline of a request that does not specify one"),
    queueCapacity: integerSpec(0, 100_000, 256, "requests", "capacity of the admission queue"),
    configPollMs: integerSpec(100, 60_000, 2_000, "ms", "interval between reads of the change feed"),
    vmListPollMs: integerSpec(100, 60_000, 1_000, "ms", "interval between reads of the VM list"),
    reportPollMs: integerSpec(50, 60_000, 1_000, "ms", "interval between load reports of a runner"),
    peerExchangeMs: integerSpec(50, 60_000, 2_000, "ms", "interval between digest exchanges within the availability zone"),
    zoneExchangeMs: integerSpec(50, 600_000, 10_000, "ms", "interval between digest exchanges with another availability zone"),
    stewardMs: integerSpec(50, 60_000, 1_000, "ms", "interval between placement rounds of the zone controller"),
    drainDelayMs: integerSpec(0, 600_000, 8_000, "ms", "time for which a copy is excluded from routing before it may be unloaded"),
    orderLatenessMs: integerSpec(0, 3_600_000, 10_000, "ms", "maximum delay with which an order can still reach an engine"),
    loadsAtOnce: integerSpec(1, 10_000, 4, "loads", "model loads that may be in progress at once in an availability zone"),
    copyRate: settingSpec({
        schema: z.coerce.number().positive().max(1e6),
        allowed: "a number above 0",
        unit: "requests/s",
        defaultValue: "1",
        description: "requests per second that one copy serves within its SLO",
    }),
    moveCost: settingSpec({
        schema: z.coerce.number().min(0).max(1e6),
        allowed: "a number of at least 0",
        unit: "requests/s",
        defaultValue: "0.2",
        description: "requests per second that a move must gain; a higher value means fewer moves, a lower value better SLO attainment",
    }),
    stopNoticeMs: integerSpec(0, 600_000, 2_000, "ms", "time for which a stopping node reports not ready before it closes its listener"),
    stopGraceMs: integerSpec(0, 3_600_000, 120_000, "ms", "time after which a stopping node cuts off the remaining requests"),
};

type Specs = typeof specs;
/** Validated settings of a standalone node. */
export type StandaloneNodeSettings = { readonly [K in keyof Specs]: z.output<Specs[K]["schema"]>; };
/** Key of a setting; flag and environment variable are derived from it. */
export type SettingName = keyof Specs;

/** All settings by name. */
export const settingDefinitions: Readonly<Record<SettingName, SettingDefinition>> = defineSettings<SettingName>(specs);

/** Outcome of validating all settings. */
export type StandaloneNodeSettingsResult = { readonly ok: true; readonly settings: StandaloneNodeSettings; } | {
    readonly ok: false;
    readonly faults: readonly SettingFault[];
};

/** Validates all settings and reports every fault at once. */
export const readSettings = (values: Readonly<Partial<Record<SettingName, string>>>): StandaloneNodeSettingsResult => {
    const { settings, faults: settingFaults } = validateSettings(settingDefinitions, values);
    const faults = [...settingFaults];
    if ((values.tlsKeyFile === undefined) !== (values.tlsCertificateFile === undefined)) {
        faults.push({
            name: settingDefinitions.tlsKeyFile.flag,
            value: values.tlsKeyFile,
            allowed: `only together with ${settingDefinitions.tlsCertificateFile.flag}`,
        });
    }
    return faults.length > 0 ? { ok: false, faults } : { ok: true, settings: settings as unknown as StandaloneNodeSettings };
};
