import type { TableObserver } from "../core/tableFollower";
import { EventId } from "../types/eventId";
import type { StoredRow } from "../types/rowStore";
import type { ServingConfig } from "../types/servingConfig";
import type { DirectoryChange, UpstreamServer } from "../types/upstreamServer";
import { emit } from "../utils/events";
import type { Gateway } from "./gateway";

/** Decodes a configuration; names the faults where it cannot be read. */
export type ConfigDecoder = (bytes: Buffer) => { readonly config: ServingConfig; } | { readonly faults: readonly string[]; };
/** Decodes a row of the directory; undefined where it names no upstream. */
export type ServerDecoder = (id: string, bytes: Buffer) => UpstreamServer | undefined;

/** Puts a published configuration in force; one that cannot be read leaves the last in force. Returns whether it did. */
export const decodeAndApplyConfig = (gateway: Gateway, bytes: Buffer, decode: ConfigDecoder, source: string): boolean => {
    const reading = decode(bytes);
    if ("faults" in reading) {
        emit(EventId.ConfigUnreadableRecord, { source, faults: reading.faults.slice(0, 5) });
        return false;
    }
    const isNewer = gateway.applyConfig(reading.config, bytes);
    if (isNewer) {
        emit(EventId.ConfigAdvanced, { version: reading.config.version, routes: reading.config.routes.length, source });
    }
    return isNewer;
};

/** Puts the operators' configurations in force as they are published. */
export const createConfigObserver = (gateway: Gateway, key: string, decode: ConfigDecoder, onApplied: () => void): TableObserver => {
    const take = (rows: readonly StoredRow[]): void => {
        const row = rows.findLast(candidate => candidate.key === key && candidate.value);
        if (row?.value && decodeAndApplyConfig(gateway, row.value, decode, "store")) {
            onApplied();
        }
    };
    return { onSnapshot: take, onChanges: take };
};

/** Keeps the directory of upstreams in step with its table. */
export const createDirectoryObserver = (gateway: Gateway, decode: ServerDecoder): TableObserver => {
    const ignored = new Map<string, number>();
    const toChange = (row: StoredRow): DirectoryChange => {
        const server = row.value && decode(row.key, row.value);
        if (row.value && !server && !ignored.has(row.key)) {
            ignored.set(row.key, row.version);
            emit(EventId.UpstreamRowIgnored, { upstream: row.key, rowVersion: row.version });
        }
        return { id: row.key, version: row.version, server };
    };
    return {
        onSnapshot: (rows, version, graceMs) => {
            gateway.directory.replace(rows.map(toChange), version, graceMs);
            emit(EventId.DirectoryRead, { version, rows: rows.length });
        },
        onChanges: (rows, version, graceMs) => {
            rows.forEach(row => gateway.directory.apply(toChange(row), graceMs));
            gateway.directory.version = Math.max(gateway.directory.version, version);
        },
    };
};
