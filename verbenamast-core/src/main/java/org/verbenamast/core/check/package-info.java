/** Checks of arguments, with messages that name the argument. */
package org.verbenamast.core.check;
