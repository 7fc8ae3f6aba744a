import eslint from '@eslint/js';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  {ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**']},
  eslint.configs.recommended,
  ...tseslint.configs.recommended,
  prettier,
  {
    languageOptions: {globals: {process: 'readonly', console: 'readonly'}},
    rules: {
      curly: ['error', 'multi-line'],
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      'no-var': 'error',
      'object-shorthand': 'error',
      'prefer-const': 'error',
    },
  },
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': [
        'error',
        {prefer: 'type-imports', fixStyle: 'separate-type-imports'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: 'interface',
          format: ['PascalCase'],
          custom: {regex: '^I[A-Z]', match: false},
        },
        {selector: 'function', format: ['camelCase']},
      ],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['@vanillacross/*/*', '../../*'],
              message: 'Import another package through its index.',
            },
          ],
        },
      ],
    },
  },
);
