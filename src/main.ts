/** Entry point of the bundle, target/main.cjs. */
import { main } from './cli/main.js';

void main(process.argv);
