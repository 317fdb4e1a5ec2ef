package wrenreach.operator;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Declares one key of a section: the single source of its default, range and meaning. It annotates a component of the
 * section's record; the key is the name of the component in lower case, with _ before each capital letter.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Key {
    /** Marks a key that has no default and has to be given. */
    String REQUIRED = "\0";

    /** One line of help for whoever writes the file. */
    String about();

    /** The default value, written as in the file; items of a list are separated by commas. */
    String byDefault() default REQUIRED;

    /** The unit of a number. */
    Unit unit() default Unit.PLAIN;

    /** The minimum, written as in the file; empty for none. */
    String least() default "";

    /** The maximum, written as in the file; empty for none. */
    String most() default "";

    /** The allowed texts; empty for any. */
    String[] oneOf() default {};

    /** Whether a change takes effect at a reload; otherwise it needs a restart. */
    boolean live() default false;
}
