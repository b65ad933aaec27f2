import { z } from "zod";

/** Describes one setting: a flag and the environment variable of the same name. */
export interface SettingDefinition {
    readonly flag: string;
    readonly env: string;
    readonly unit: string;
    readonly defaultValue: string | undefined;
    readonly description: string;
    readonly allowed: string;
    readonly schema: z.ZodType;
    /** Whether the value must not appear in messages. */
    readonly secret: boolean;
}

/** Specification of one setting, from which its flag and environment variable are derived by name. */
export interface SettingSpec<T extends z.ZodType> {
    readonly schema: T;
    readonly allowed: string;
    readonly description: string;
    readonly unit?: string;
    readonly defaultValue?: string;
    readonly secret?: boolean;
}

/** A missing or invalid setting. */
export interface SettingFault {
    readonly name: string;
    readonly value: string | undefined;
    readonly allowed: string;
}

/** Checks the type of a specification. */
export const settingSpec = <T extends z.ZodType>(value: SettingSpec<T>): SettingSpec<T> => value;

/** Specifies a setting that is an integer within bounds. */
export const integerSpec = (min: number, max: number, defaultValue: number, unit: string, description: string) =>
    settingSpec({
        schema: z.coerce.number().int().min(min).max(max),
        allowed: `an integer from ${min} to ${max}`,
        unit,
        defaultValue: String(defaultValue),
        description,
    });

const envPrefix = "JACKDAWTRAIL_";
const kebab = (name: string): string => name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);

/** Derives the definitions of settings from their specifications. */
export const defineSettings = <Name extends string>(specs: Readonly<Record<Name, SettingSpec<z.ZodType>>>): Readonly<Record<Name, SettingDefinition>> =>
    Object.fromEntries(
        Object.entries(specs as Readonly<Record<string, SettingSpec<z.ZodType>>>).map(([name, spec]) => [name, {
            flag: `--${kebab(name)}`,
            env: `${envPrefix}${kebab(name).replaceAll("-", "_").toUpperCase()}`,
            unit: spec.unit ?? "",
            defaultValue: spec.defaultValue,
            description: spec.description,
            allowed: spec.allowed,
            schema: spec.schema,
            secret: spec.secret ?? false,
        }]),
    ) as Record<Name, SettingDefinition>;

/** Validates all settings and lists every fault. */
export const validateSettings = <Name extends string>(
    definitions: Readonly<Record<Name, SettingDefinition>>,
    values: Readonly<Partial<Record<Name, string>>>,
): { readonly settings: Readonly<Record<string, unknown>>; readonly faults: readonly SettingFault[]; } => {
    const faults: SettingFault[] = [];
    const settings: Record<string, unknown> = {};
    for (const [name, setting] of Object.entries(definitions) as [Name, SettingDefinition][]) {
        const value = values[name] ?? setting.defaultValue;
        const result = setting.schema.safeParse(value);
        if (result.success) {
            settings[name] = result.data;
        }
        else {
            const displayedValue = setting.secret && value !== undefined ? `${value.length} characters` : value;
            faults.push({ name: `${setting.flag} (${setting.env})`, value: displayedValue, allowed: setting.allowed });
        }
    }
    return { settings, faults };
};
