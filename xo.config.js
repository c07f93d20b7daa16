export default [
	{ignores: ['dist/**', 'bench-results/**']},
	{
		rules: {
			// AVA runs the compiled output, so this rule reports every TypeScript test as ignored.
			'ava/no-ignored-test-files': 'off',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Classes are constructed by static `create` methods, so their private constructors are often empty.
			'@typescript-eslint/no-empty-function': ['error', {allow: ['private-constructors']}],
			// This rule and the brace rules undo each other's fixes on empty constructor bodies.
			'@stylistic/curly-newline': 'off',
			// A lookup table of handlers narrows its message by kind, which needs an assertion.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
];
