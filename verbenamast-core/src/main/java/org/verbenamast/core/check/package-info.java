/** Named checks of arguments. */
package org.verbenamast.core.check;
