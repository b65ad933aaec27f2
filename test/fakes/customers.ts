import type { Gateway } from "../../src/forward/gateway";
import type { CustomerSpec } from "../../src/types/customer";
import { readClocks } from "../../src/utils/clockReading";

/** Puts a version with these customers in force at a gateway. */
export const applyCustomers = (gateway: Gateway, customers: readonly CustomerSpec[] | undefined): void => {
    const config = gateway.config!;
    gateway.applyConfig({ ...config, version: config.version + 1, customers }, Buffer.from(""));
};

/** Confirms the configuration in force as by an answer of the store to a call sent this long ago. */
export const confirmByStore = ({ confirmation }: Gateway, agoMs = 0): void => {
    const { monotonicMs, wallMs } = readClocks();
    confirmation.onStoredVersion(true);
    confirmation.onStoreRead({ monotonicMs: monotonicMs - agoMs, wallMs: wallMs - agoMs }, 1);
};

/** Makes a gateway require confirmations of its configuration. */
export const requireConfirmation = (gateway: Gateway, revokeMs = 5_000): void => {
    gateway.settings = { ...gateway.settings, isRevocationStrict: true, revokeMs };
};
