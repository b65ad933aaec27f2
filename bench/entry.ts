export const benchEntry = (): void => undefined;
