import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist", "build", "target", "journal", "node_modules"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        rules: {
            "curly": ["error", "all"],
            "brace-style": ["error", "stroustrup"],
            "eqeqeq": "error",
            "prefer-arrow-callback": "error",
            "func-style": ["error", "expression"],
            "max-lines": ["error", 250],
            "no-restricted-syntax": ["error", { selector: "Literal[raw='null']", message: "Use undefined." }],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^(I|_)[A-Z]", match: false } },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: ["function", "classMethod", "parameter", "classProperty"], format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "variable", format: ["camelCase"] },
            ],
        },
    },
    {
        // The platform's wire names end in its folder; only the wiring knows it.
        files: ["src/**/*.ts"],
        ignores: ["src/platform/**", "src/node/platformNode.ts", "src/cli/**"],
        rules: { "no-restricted-imports": ["error", { patterns: ["**/platform/*"] }] },
    },
);
