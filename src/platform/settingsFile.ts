import { parse } from "smol-toml";
import { z } from "zod";
import type { PlatformNodeSettings } from "../types/platformNodeSettings";
import type { TransportLimits } from "../types/transportLimits";
import { parseWith } from "./schemas";

const address = z.string().regex(/^[^:]+:\d+$/, "must be IP:PORT");

/** Descriptors of a process where the platform states no limit. */
const defaultMaxDescriptors = 4_096;
/** Bounds that only deployments with customers state. */
const defaultRevokeMs = 5_000;
const defaultUsageWindowS = 10;
const pressureContract = "pressure";
const bytesPerMegabyte = 1_048_576;

/** The platform's settings file; other fields are ignored. */
const settingsSchema = z.object({
    nodeName: z.string(),
    ip: z.string(),
    zone: z.string(),
    portRange: z.tuple([z.number().int(), z.number().int()]),
    seeds: z.array(address).default([]),
    heartbeatMs: z.number().positive(),
    /** Parts of the platform's rules that are in force. */
    contracts: z.array(z.string()).default([]),
    /** `control` is the address for calls from peers. */
    listen: z.object({ front: address, ready: address, control: address }),
    /** `cpuShare` is the share of one core's time, of a core that is `cores` times as fast. */
    limits: z.object({
        memoryMb: z.number().positive(),
        maxFds: z.number().int().positive().default(defaultMaxDescriptors),
        cpuShare: z.number().positive().default(1),
        cores: z.number().positive().default(1),
    }),
    bounds: z.object({
        contactMs: z.number(),
        drainMs: z.number(),
        graceS: z.number(),
        applyMs: z.number(),
        budgetRatio: z.number(),
        budgetWindowS: z.number(),
        /** Number of retries allowed in addition to the ratio. */
        budgetSlack: z.number(),
        leaseMs: z.number(),
        /** Whether runners check the fencing epoch of orders. */
        fencing: z.boolean(),
        ceilingWindowS: z.number(),
        ceilingOverrun: z.number(),
        strictRevoke: z.boolean().default(false),
        revokeMs: z.number().positive().default(defaultRevokeMs),
        /** Bounds of customers' usage limits (`quota`). */
        quotaWindowS: z.number().positive().default(defaultUsageWindowS),
        quotaOverrun: z.number().min(0).default(0),
        quotaSlack: z.number().min(0).default(0),
    }),
    platform: z.object({ addr: address }),
});

/** Outcome of parsing the settings file. */
export type SettingsFileResult = { readonly settings: PlatformNodeSettings; } | { readonly faults: readonly string[]; };

const msPerS = 1_000;

/** Parses the platform's settings file into the settings of a node, together with its own limits; reports all faults at once. */
export const parseSettingsFile = (text: string, limits: TransportLimits): SettingsFileResult => {
    let document: unknown;
    try {
        document = parse(text);
    }
    catch (err) {
        return { faults: [`the file is not TOML: ${err instanceof Error ? err.message : String(err)}`] };
    }
    const result = parseWith(settingsSchema, document);
    if ("faults" in result) {
        return result;
    }
    const { nodeName, ip, zone, portRange, seeds, heartbeatMs, contracts, listen, bounds, platform, limits: vm } = result.value;
    return {
        settings: {
            nodeId: `${nodeName}@${ip}`,
            ip,
            availabilityZone: zone,
            callerAddress: listen.front,
            readyAddress: listen.ready,
            peerAddress: listen.control,
            metricsAddress: `${ip}:${portRange[0]}`,
            storeAddress: platform.addr,
            seeds,
            heartbeatMs,
            cores: vm.cpuShare * vm.cores,
            memoryBytes: vm.memoryMb * bytesPerMegabyte,
            maxDescriptors: vm.maxFds,
            drainMs: bounds.drainMs,
            applyMs: bounds.applyMs,
            isRevocationStrict: bounds.strictRevoke,
            revokeMs: bounds.revokeMs,
            usageWindowMs: bounds.quotaWindowS * msPerS,
            usageOverrun: bounds.quotaOverrun,
            usageSlack: bounds.quotaSlack,
            hasRunnerPressure: contracts.includes(pressureContract),
            graceMs: bounds.graceS * msPerS,
            retryRatio: bounds.budgetRatio,
            retryWindowMs: bounds.budgetWindowS * msPerS,
            retrySlack: bounds.budgetSlack,
            limits,
            turnGapMs: bounds.leaseMs,
            loadWindowMs: bounds.ceilingWindowS * msPerS,
        },
    };
};
