/** Routes, services and limits as the operator's configuration states them. */
package org.cornelway.route;
