import type { TableObserver } from "../core/tableFollower";
import { EventId } from "../types/eventId";
import type { StoredRow } from "../types/rowStore";
import type { ServingConfig } from "../types/servingConfig";
import type { UpstreamFault } from "../types/upstreamFault";
import type { DirectoryChange, UpstreamServer } from "../types/upstreamServer";
import { emit } from "../utils/events";
import type { Gateway } from "./gateway";

/** Decodes a configuration, or lists its faults if it cannot be decoded. */
export type ConfigDecoder = (bytes: Buffer) => { readonly config: ServingConfig; } | { readonly faults: readonly string[]; };
/** Decodes a row of the directory; undefined if it names no upstream to use, and `onFault` is then called with the reason. */
export type ServerDecoder = (id: string, bytes: Buffer, onFault: (fault: UpstreamFault) => void) => UpstreamServer | undefined;

/** What became of a published configuration. */
export enum ConfigResult {
    Activated = "activated",
    /** It was in force already, or a newer one is. */
    Known = "known",
    /** It cannot be decoded: the active one stays. */
    Invalid = "invalid",
}

/** Decodes a published configuration and activates it if it is newer than the active one. */
export const decodeAndApplyConfig = (gateway: Gateway, bytes: Buffer, decode: ConfigDecoder, source: string): ConfigResult => {
    const decoded = decode(bytes);
    if ("faults" in decoded) {
        emit(EventId.ConfigUnreadableRecord, { source, faults: decoded.faults.slice(0, 5) });
        return ConfigResult.Invalid;
    }
    const { config } = decoded;
    if (!gateway.applyConfig(config, bytes)) {
        return ConfigResult.Known;
    }
    emit(EventId.ConfigAdvanced, {
        version: config.version,
        routes: config.routes.length,
        source,
        customers: gateway.customers?.size,
        keys: gateway.customers?.keys,
    });
    return ConfigResult.Activated;
};

/** Creates an observer that activates configurations as operators publish them. */
export const createConfigObserver = (gateway: Gateway, key: string, decode: ConfigDecoder, onApplied: () => void): TableObserver => {
    const applyLatest = (rows: readonly StoredRow[]): void => {
        const row = rows.findLast(candidate => candidate.key === key && candidate.value);
        if (!row?.value) {
            return;
        }
        const result = decodeAndApplyConfig(gateway, row.value, decode, "store");
        gateway.confirmation.onStoredVersion(result !== ConfigResult.Invalid);
        if (result === ConfigResult.Activated) {
            onApplied();
        }
    };
    return { onSnapshot: applyLatest, onChanges: applyLatest };
};

/** Creates an observer that applies the rows of the directory table to the directory of upstreams. */
export const createDirectoryObserver = (gateway: Gateway, decode: ServerDecoder): TableObserver => {
    /** Faults of the rows that are ignored, each logged once. */
    const ignoredRows = new Map<string, UpstreamFault>();
    const toChange = ({ key, value, version }: StoredRow): DirectoryChange => {
        let fault: UpstreamFault | undefined;
        const server = value && decode(key, value, found => fault = found);
        if (fault === undefined) {
            ignoredRows.delete(key);
        }
        else if (ignoredRows.get(key) !== fault) {
            ignoredRows.set(key, fault);
            emit(EventId.UpstreamRowIgnored, { upstream: key, rowVersion: version, reason: fault });
        }
        return { id: key, version, server };
    };
    return {
        onSnapshot: (rows, version, graceMs) => {
            const present = new Set(rows.map(({ key }) => key));
            [...ignoredRows.keys()].filter(key => !present.has(key)).forEach(key => ignoredRows.delete(key));
            gateway.directory.replace(rows.map(toChange), version, graceMs);
            emit(EventId.DirectoryRead, { version, rows: rows.length });
        },
        onChanges: (rows, version, graceMs) => {
            // A row that is ignored is no expired one: the upstream that it named before does not outlive it.
            rows.forEach(row => gateway.directory.apply(toChange(row), row.value ? 0 : graceMs));
            gateway.directory.version = Math.max(gateway.directory.version, version);
        },
    };
};
