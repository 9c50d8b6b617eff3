/** The messages that members send each other. */
package org.verbenamast.core.message;
