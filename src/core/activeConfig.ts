import type { ServingConfig } from "../types/servingConfig";
import { CustomerTable } from "./customerTable";
import { PriorityLevels } from "./priorityLevels";
import { RouteTable } from "./routeTable";

/** The configuration in force, indexed. */
export interface ActiveConfig {
    readonly config: ServingConfig;
    readonly routes: RouteTable;
    /** Undefined if the configuration declares no customers. */
    readonly customers: CustomerTable | undefined;
    readonly priorityLevels: PriorityLevels | undefined;
}

/** Indexes a configuration. */
export const createActiveConfig = (config: ServingConfig): ActiveConfig => ({
    config,
    routes: RouteTable.create(config),
    customers: config.customers && CustomerTable.create(config.customers),
    priorityLevels: config.customers && PriorityLevels.create(config),
});
