import type { Command } from "clipanion";
import { Option } from "clipanion";
import type { SettingDefinition, SettingFault } from "../node/settingSpecs";

type Definitions<Name extends string> = Readonly<Record<Name, SettingDefinition>>;

/** Adds an option to a command for each setting. */
export const addSettingOptions = <Name extends string>(command: Command, definitions: Definitions<Name>): void => {
    for (const [name, { flag, env, description, unit, defaultValue }] of Object.entries(definitions) as [Name, SettingDefinition][]) {
        const help = `${description}${unit && ` [${unit}]`}${defaultValue === undefined ? "" : ` (default ${defaultValue})`}`;
        Object.assign(command, { [name]: Option.String(flag, { env, description: help }) });
    }
};

/** The values that a command received for settings; those that are absent have their defaults. */
export const settingValuesOf = <Name extends string>(command: Command, definitions: Definitions<Name>): Partial<Record<Name, string>> => {
    const values = command as unknown as Readonly<Partial<Record<Name, string>>>;
    return Object.fromEntries((Object.keys(definitions) as Name[]).map(name => [name, values[name]])) as Partial<Record<Name, string>>;
};

/** One line that tells what is wrong with a setting. */
export const describeFault = ({ name, value, allowed }: SettingFault): string =>
    `${name}: ${value === undefined ? "missing" : JSON.stringify(value)}; allowed: ${allowed}`;
