package org.verbenamast.core.check;

/**
 * Named checks of arguments.
 *
 * <pre>{@code
 * slots = Checks.positive("slots", slots);
 * }</pre>
 */
public final class Checks {

    private Checks() {}

    /**
     * Checks that a text has more than white space.
     *
     * @param name the argument's name
     * @param value the text
     * @return the text
     * @throws InvalidValueException where it has not
     */
    public static String notBlank(String name, String value) {
        if (value == null || value.isBlank()) {
            throw InvalidValueException.shouldNotBeBlank(name);
        }
        return value;
    }

    /**
     * Checks that a number is above zero.
     *
     * @param name the argument's name
     * @param value the number
     * @return the number
     * @throws InvalidValueException where it is not
     */
    public static long positive(String name, long value) {
        if (value <= 0) {
            throw InvalidValueException.shouldBePositive(name, value);
        }
        return value;
    }

    /**
     * Checks that a number is zero or above.
     *
     * @param name the argument's name
     * @param value the number
     * @return the number
     * @throws InvalidValueException where it is not
     */
    public static long notNegative(String name, long value) {
        if (value < 0) {
            throw InvalidValueException.shouldNotBeNegative(name, value);
        }
        return value;
    }

    /**
     * Checks that a number is finite and zero or above.
     *
     * @param name the argument's name
     * @param value the number
     * @return the number
     * @throws InvalidValueException where it is not
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
     * @param min the least number allowed
     * @param max the greatest number allowed
     * @return the number
     * @throws InvalidValueException where it is outside
     */
    public static long within(String name, long value, long min, long max) {
        if (value < min || value > max) {
            throw InvalidValueException.shouldBeWithin(name, value, min, max);
        }
        return value;
    }

    /**
     * Makes the failure for a text that can't be parsed.
     *
     * @param name the argument's name
     * @param form the form wanted
     * @param value the text
     * @return the failure, to be thrown
     */
    public static InvalidValueException malformed(String name, String form, String value) {
        return InvalidValueException.shouldHaveForm(name, form, value);
    }
}
