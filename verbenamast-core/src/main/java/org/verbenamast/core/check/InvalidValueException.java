package org.verbenamast.core.check;

/** Thrown where an argument violates the contract of the type or method that it was passed to. */
public final class InvalidValueException extends IllegalArgumentException {

    private InvalidValueException(String message) {
        super(message);
    }

    static InvalidValueException shouldNotBeBlank(String name) {
        return new InvalidValueException("%s should not be blank".formatted(name));
    }

    static InvalidValueException shouldBePositive(String name, long value) {
        return new InvalidValueException("%s should be positive but was <%d>".formatted(name, value));
    }

    static InvalidValueException shouldNotBeNegative(String name, long value) {
        return new InvalidValueException("%s should not be negative but was <%d>".formatted(name, value));
    }

    static InvalidValueException shouldBeFiniteAndNotNegative(String name, double value) {
        return new InvalidValueException("%s should be finite and not negative but was <%s>".formatted(name, value));
    }

    static InvalidValueException shouldBeWithin(String name, long value, long min, long max) {
        return new InvalidValueException(
                "%s should be between <%d> and <%d> but was <%d>".formatted(name, min, max, value));
    }

    static InvalidValueException shouldHaveForm(String name, String form, String value) {
        return new InvalidValueException("%s should have the form <%s> but was <%s>".formatted(name, form, value));
    }
}
