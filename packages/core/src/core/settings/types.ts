/** Types of the settings table. */

/** What kind of value a setting takes. */
export enum SettingType {
  Text = 'text',
  Integer = 'integer',
  Duration = 'duration',
  Share = 'share',
  Boolean = 'boolean',
  Choice = 'choice',
  List = 'list',
}

/** One row of the settings table. */
export interface SettingRow<T> {
  readonly type: SettingType;
  /** Value when neither the flag nor the variable is given; a setting without one must be given. */
  readonly default: T | undefined;
  /** One sentence for `--help` and the docs page. */
  readonly doc: string;
  /** Unit of the value, such as `ms`. */
  readonly unit?: string | undefined;
  /** Least value of a number. */
  readonly min?: number | undefined;
  /** Greatest value of a number. */
  readonly max?: number | undefined;
  /** The values that a choice allows. */
  readonly choices?: readonly string[] | undefined;
  /** A secret is read from the environment only and never printed. */
  readonly secret?: boolean | undefined;
}

/** Rows by key. */
export type SettingRows = Readonly<Record<string, SettingRow<unknown>>>;

/** The type of a row's value. */
export type SettingValue<Row> = Row extends SettingRow<infer T> ? T : never;

/** The values of a table, by key. */
export type SettingValues<Rows extends SettingRows> = {
  readonly [Key in keyof Rows]: SettingValue<Rows[Key]>;
};

/** Environment variables, as `process.env` has them. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** A value as it was written, and the place it was written at. */
export interface RawSetting {
  /** The flag or the variable, as errors name it. */
  readonly place: string;
  /** The text; true or false for a flag without a value. */
  readonly value: string | boolean;
}
