// Stands for optional native modules, which the bundle does without; those who ask for them catch this.
throw new Error("this optional module is not part of the bundle");
