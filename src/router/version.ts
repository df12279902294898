/** Version of the program. */
export const VERSION = "0.1.0";
