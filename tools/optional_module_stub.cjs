// Replaces optional native modules in the bundle; the packages that load them catch this error.
throw new Error("this optional native module is not included in the bundle");
