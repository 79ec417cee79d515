/** Tests of the components of the roles. */
package org.cornelway.role;
