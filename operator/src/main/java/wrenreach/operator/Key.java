package wrenreach.operator;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * What one key of a section may hold: the one place of its default, range and meaning. It stands at a component of the
 * section's record; the key is the component's name with _ before each capital letter.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Key {
    /** Stands for a key that has no default: it has to be given. */
    String REQUIRED = "\0";

    /** One line for who writes the file. */
    String about();

    /** The value where the file gives none, as it would stand there; lists are separated by commas. */
    String byDefault() default REQUIRED;

    /** What a number counts. */
    Unit unit() default Unit.PLAIN;

    /** The least value, written as in the file; empty: none. */
    String least() default "";

    /** The greatest value, written as in the file; empty: none. */
    String most() default "";

    /** The texts that are allowed; empty: any. */
    String[] oneOf() default {};

    /** Whether a change takes effect at a reload; else it needs a restart. */
    boolean live() default false;
}
