import importX from 'eslint-plugin-import-x';
import { readFileSync } from 'node:fs';
import tseslint from 'typescript-eslint';

const verbs = new Set(
  readFileSync('docs/names.md', 'utf8')
    .split('\n\n')
    .find((paragraph) => paragraph.startsWith('accept,'))
    .split(/[\s,]+/),
);

// Checks that function names begin with a verb listed in docs/names.md.
const verbRule = {
  create(context) {
    const check = (node, name) => {
      const verb = /^[a-z]+/.exec(name)?.[0];
      if (verb === undefined || verbs.has(verb)) return;
      context.report({ node, message: `"${name}" must begin with a verb of docs/names.md` });
    };
    return {
      FunctionDeclaration: (node) => node.id && check(node.id, node.id.name),
      'MethodDefinition[kind="method"]': (node) => check(node.key, node.key.name ?? ''),
      'VariableDeclarator[init.type="ArrowFunctionExpression"]': (node) =>
        check(node.id, node.id.name),
    };
  },
};

// Packages that each package may import. There are no cycles: dependencies point from the daemon
// towards the pure packages.
const allowedImports = {
  protocol: [],
  placement: ['protocol'],
  config: ['protocol', 'placement', 'hosting'],
  hosting: ['protocol'],
  scheduling: ['protocol'],
  dispatch: ['protocol', 'hosting', 'ownership', 'scheduling'],
  membership: ['protocol', 'hosting'],
  ownership: ['protocol', 'hosting'],
  routing: ['protocol', 'hosting', 'membership', 'ownership'],
  execution: ['protocol', 'hosting', 'placement', 'ownership'],
  daemon: [
    'protocol',
    'config',
    'hosting',
    'placement',
    'membership',
    'ownership',
    'execution',
    'routing',
  ],
  cli: ['protocol', 'config', 'hosting', 'daemon'],
  standin: ['protocol', 'hosting'],
};

const packageNames = [...Object.keys(allowedImports), 'bench'];

const importRules = Object.entries(allowedImports).map(([name, allowed]) => ({
  files: [`packages/${name}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: packageNames
          .filter((other) => other !== name && !allowed.includes(other))
          .map((other) => ({
            regex: `^@bergamotreach/${other}(/|$)`,
            message: `package ${name} must not depend on package ${other}`,
          }))
          // Only platform/, the composition root, may depend on the users' platform.
          .concat({
            regex: '(^|/)platform/',
            message: 'packages must not depend on the translation to the platform',
          }),
      },
    ],
  },
}));

// Placement decisions must be reproducible, so the package has no clock, I/O or random source.
const pureRules = {
  files: ['packages/placement/src/**/*.ts', 'packages/scheduling/src/**/*.ts'],
  rules: {
    'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'performance', 'process'],
    'no-restricted-properties': [
      'error',
      { object: 'Date', property: 'now' },
      { object: 'Math', property: 'random' },
    ],
  },
};

export default tseslint.config(
  {
    ignores: [
      '**/node_modules/**',
      'dist/**',
      'target/**',
      'model/work/**',
      '**/*.mjs',
      '**/*.cjs',
    ],
  },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    plugins: { 'import-x': importX, names: { rules: { verb: verbRule } } },
    rules: {
      '@typescript-eslint/consistent-type-imports': [
        'error',
        { fixStyle: 'separate-type-imports' },
      ],
      '@typescript-eslint/consistent-type-exports': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/no-unnecessary-type-parameters': 'off',
      'import-x/no-duplicates': ['error', { 'prefer-inline': false }],
      eqeqeq: 'error',
      'names/verb': 'error',
    },
  },
  {
    // node:test returns a promise from test(), which the runner itself awaits.
    files: ['packages/*/tests/**/*.ts', 'platform/tests/**/*.ts'],
    // The soak is a separate program, not run by the test runner.
    ignores: ['platform/tests/soak/**/*.ts'],
    rules: {
      '@typescript-eslint/no-floating-promises': 'off',
      '@typescript-eslint/no-non-null-assertion': 'off',
    },
  },
  ...importRules,
  pureRules,
);
