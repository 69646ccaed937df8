/** The version of the package. A test checks that it equals the one in package.json. */
export const VERSION = '0.1.0';
