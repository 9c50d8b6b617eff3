package org.verbenamast.core.check;

/**
 * Checks of arguments. Each method returns the checked value, and its failure names the argument and the value.
 *
 * <pre>{@code
 * slots = Checks.positive("slots", slots);
 * }</pre>
 */
public final class Checks {

    private Checks() {}

    /**
     * Checks that a string is neither null nor blank.
     *
     * @param name the argument's name
     * @param value the string
     * @return the string
     * @throws InvalidValueException where it is null, empty or only white space
     */
    public static String notBlank(String name, String value) {
        if (value == null || value.isBlank()) {
            throw InvalidValueException.shouldNotBeBlank(name);
        }
        return value;
    }

    /**
     * Checks that a number is greater than zero.
     *
     * @param name the argument's name
     * @param value the number
     * @return the number
     * @throws InvalidValueException where the check fails
     */
    public static long positive(String name, long value) {
        if (value <= 0) {
            throw InvalidValueException.shouldBePositive(name, value);
        }
        return value;
    }

    /**
     * Checks that a number is zero or greater.
     *
     * @param name the argument's name
     * @param value the number
     * @return the number
     * @throws InvalidValueException where the check fails
     */
    public static long notNegative(String name, long value) {
        if (value < 0) {
            throw InvalidValueException.shouldNotBeNegative(name, value);
        }
        return value;
    }

    /**
     * Checks that a number is finite and zero or greater.
     *
     * @param name the argument's name
     * @param value the number
     * @return the number
     * @throws InvalidValueException where the check fails
     */
    public static double finiteNotNegative(String name, double value) {
        if (!Double.isFinite(value) || value < 0) {
            throw InvalidValueException.shouldBeFiniteAndNotNegative(name, value);
        }
        return value;
    }

    /**
     * Checks that a number is in a closed range.
     *
     * @param name the argument's name
     * @param value the number
     * @param min the smallest number allowed
     * @param max the largest number allowed
     * @return the number
     * @throws InvalidValueException where the number is outside of the range
     */
    public static long within(String name, long value, long min, long max) {
        if (value < min || value > max) {
            throw InvalidValueException.shouldBeWithin(name, value, min, max);
        }
        return value;
    }

    /**
     * Creates the exception for a string that can't be parsed.
     *
     * @param name the argument's name
     * @param form the expected form, such as {@code host:port}
     * @param value the string
     * @return the exception, for the caller to throw
     */
    public static InvalidValueException malformed(String name, String form, String value) {
        return InvalidValueException.shouldHaveForm(name, form, value);
    }
}
