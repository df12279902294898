declare module "postject" {
  /** Injects a resource into an executable. */
  export function inject(
    filename: string,
    resourceName: string,
    resourceData: Buffer,
    options: { sentinelFuse: string },
  ): Promise<void>;
}
